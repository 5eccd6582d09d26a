// The command `ivyfield`.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "cli/director.hpp"
#include "cli/hints_command.hpp"
#include "io/ev/ev_loop.hpp"

namespace {

using namespace ivyfield;

int check(const std::string& path) {
    const config::Loaded loaded = config::load_file(path);
    for (const config::Fault& f : loaded.faults)
        std::cerr << path << ": " << (f.path.empty() ? "/" : f.path) << ": " << f.why << "\n";
    if (!loaded.faults.empty()) return 1;
    std::cout << path << ": good\n";
    return 0;
}

int serve(const std::string& path) {
    const config::Loaded loaded = config::load_file(path);
    if (!loaded.faults.empty()) return check(path);
    ::signal(SIGPIPE, SIG_IGN);
    const std::uint64_t seed = loaded.config.seed.value_or(io::system_seed());
    io::EvLoop loop(seed);
    cli::DirectorProcess director(loop, loaded.config, seed);
    for (const int number : {SIGINT, SIGTERM}) loop.on_signal(number, [&] { loop.stop(); });
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"ivyfield: places and shapes video sessions on streaming servers"};
    app.set_version_flag("--version", IVYFIELD_VERSION);
    app.require_subcommand(1);
    int code = 0;

    CLI::App* version = app.add_subcommand("version", "Print the version");
    version->callback([] { std::cout << "ivyfield " IVYFIELD_VERSION "\n"; });

    std::string file;
    CLI::App* serve_command = app.add_subcommand(
        "serve",
        "Run a director: players come to `listen`, the server list is asked of `list.consul`.\n"
        "Example:  ivyfield serve --config examples/director.json");
    serve_command->add_option("--config", file, "the director's JSON file; see config/schema.json")
        ->required();
    serve_command->callback([&] { code = serve(file); });
    CLI::App* check_command = app.add_subcommand(
        "check", "Check a director's JSON file and print every fault with its path; the exit code is 1 then");
    check_command->add_option("file", file)->required();
    check_command->callback([&] { code = check(file); });

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
