# Writes a header with the text of FILE as the constant NAME in ivyfield::config.
file(READ ${FILE} text)
file(WRITE ${OUT}.new "// Made by the build from ${FILE}.\n#pragma once\nnamespace ivyfield::config {\n"
  "constexpr const char ${NAME}[] = R\"schema(${text})schema\";\n}  // namespace ivyfield::config\n")
configure_file(${OUT}.new ${OUT} COPYONLY)
