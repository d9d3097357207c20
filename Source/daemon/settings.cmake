# Settings of crocusdoord, also read by the command line's "validate".
add_library(crocusdoor_settings STATIC settings.cpp settings_checks.cpp default_settings.cpp)
target_link_libraries(crocusdoor_settings PUBLIC crocusdoor)
