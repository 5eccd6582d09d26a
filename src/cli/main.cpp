// The command `ivyfield`.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "cli/hints_command.hpp"

int main(int argc, char** argv) {
    CLI::App app{"ivyfield: places and shapes video sessions on streaming servers"};
    app.set_version_flag("--version", IVYFIELD_VERSION);
    app.require_subcommand(1);
    int code = 0;

    CLI::App* version = app.add_subcommand("version", "Print the version");
    version->callback([] { std::cout << "ivyfield " IVYFIELD_VERSION "\n"; });

    CLI::App* hints = app.add_subcommand("hints", "CMCD and CMSD payloads to JSON and back, a line each");
    hints->require_subcommand(1);
    std::string kind;
    const auto add_kind = [&kind](CLI::App* to) {
        to->add_option("--kind", kind, "cmcd (CTA-5004), cmsd-static or cmsd-dynamic (CTA-5006)")
            ->required()
            ->check(CLI::IsMember({"cmcd", "cmsd-static", "cmsd-dynamic"}));
    };
    CLI::App* decode = hints->add_subcommand(
        "decode",
        "Read one payload a line (percent-decoded already), print one JSON object a line.\n"
        "A malformed key is dropped alone and listed with the reason.\n"
        "Example:  echo 'bl=21300,sid=\"a\",br=x' | ivyfield hints decode --kind cmcd");
    add_kind(decode);
    decode->callback([&] { code = ivyfield::cli::decode_hints(kind, std::cin, std::cout); });
    CLI::App* encode = hints->add_subcommand(
        "encode",
        "Read one JSON object a line, as decode prints them, print one payload a line.\n"
        "Keys that can't be sent are left out and told on standard error; the exit code is 1 then.\n"
        "Example:  echo '{\"keys\":{\"bl\":21342,\"su\":true}}' | ivyfield hints encode --kind cmcd");
    add_kind(encode);
    encode->callback([&] { code = ivyfield::cli::encode_hints(kind, std::cin, std::cout, std::cerr); });

    try {
        CLI11_PARSE(app, argc, argv);
    } catch (const std::exception& e) {
        std::cerr << "ivyfield: " << e.what() << "\n";
        return 1;
    }
    return code;
}
