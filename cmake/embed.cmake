# Writes a header with the text of FILE as the constant NAME in the namespace SPACE.
file(READ ${FILE} text)
file(WRITE ${OUT} "// Made by the build.\n#pragma once\nnamespace ${SPACE} {\n"
  "constexpr const char ${NAME}[] = R\"schema(${text})schema\";\n}  // namespace ${SPACE}\n")
