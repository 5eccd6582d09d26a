// The program `ivyfield` with its subcommands.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "cli/day_command.hpp"
#include "cli/director.hpp"
#include "cli/hints_command.hpp"
#include "cli/relay.hpp"
#include "io/ev/child.hpp"
#include "io/ev/ev_loop.hpp"

namespace {

using namespace ivyfield;

// Checks a configuration file and prints its errors. Returns 1 if there are any.
int check(const std::string& path) {
    const config::LoadResult loaded = config::load_file(path);
    for (const config::ConfigError& error : loaded.errors)
        std::cerr << path << ": " << (error.path.empty() ? "/" : error.path) << ": " << error.message << "\n";
    if (!loaded.errors.empty()) return 1;
    std::cout << path << ": good\n";
    return 0;
}

// Runs a director for HTTP until SIGINT or SIGTERM.
int serve(const std::string& path) {
    const config::LoadResult loaded = config::load_file(path);
    if (!loaded.errors.empty()) return check(path);
    ::signal(SIGPIPE, SIG_IGN);
    io::raise_file_limit();
    const std::uint64_t seed = loaded.config.seed.value_or(io::system_seed());
    io::EvLoop loop(seed);
    cli::DirectorProcess director(loop, loaded.config, seed);
    for (const int signal_number : {SIGINT, SIGTERM})
        loop.on_signal(signal_number, [&] { director.stop([&] { loop.stop(); }); });
    loop.run();
    io::block_termination_signals();
    return 0;
}

// Reads an environment variable, which may not be empty. The platform configures a director by three of them
// and nothing else.
std::string read_variable(const char* name) {
    const char* value = std::getenv(name);
    if (!value || !*value)
        throw std::runtime_error(std::string(name) + " is not set or empty; see ivyfield relay --help");
    return value;
}
// Runs a director on the platform until SIGINT or SIGTERM. Returns 2 if its configuration has an error.
int run_relay() {
    std::string path;
    config::RelayConfig config;
    try {
        const std::string name = read_variable("RELAY_NAME");
        const std::string listen = read_variable("RELAY_LISTEN");
        const std::string file = read_variable("RELAY_CONFIG");
        io::Address address;
        try {
            address = io::Address::parse(listen);
        } catch (const std::invalid_argument& e) {
            throw std::runtime_error(std::string("RELAY_LISTEN: ") + e.what());
        }
        path = file;
        config = config::parse_relay_config(config::read_file(path));
        config.name = name;
        config.listen = address;
    } catch (const std::exception& e) {
        std::cerr << "ivyfield relay: " << (path.empty() ? "" : path + ": ") << e.what() << "\n";
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    if (const std::size_t files = io::raise_file_limit()) config.sockets = std::min(config.sockets, files);
    io::set_stderr_nonblocking();
    io::EvLoop loop(config.seed);
    // The handlers are set before the director starts to listen, when others can see that it runs: a signal
    // without a handler would end the process.
    std::optional<cli::RelayProcess> director;
    loop.on_signal(SIGHUP, [&] {
        try {
            director->reload(config::parse_relay_config(config::read_file(path)));
        } catch (const std::exception& e) {
            director->log_event(log::Level::error, "not reloaded", {{"why", path + ": " + e.what()}});
        }
    });
    for (const int signal_number : {SIGINT, SIGTERM})
        loop.on_signal(signal_number, [&] { director->stop([&] { loop.stop(); }); });
    director.emplace(loop, config, "-");
    loop.run();
    io::block_termination_signals();
    return 0;
}

// Plays a day file and prints the report. Returns 1 if a rule was broken, 2 if the file has errors.
int play_day_file(const std::string& path, std::optional<std::uint64_t> seed, bool simulated,
                  const cli::DayOptions& options) {
    const day::LoadedScenario loaded = day::load_scenario(config::read_file(path));
    for (const config::ConfigError& error : loaded.errors)
        std::cerr << path << ": " << (error.path.empty() ? "/" : error.path) << ": " << error.message << "\n";
    if (!loaded.errors.empty()) return 2;
    ::signal(SIGPIPE, SIG_IGN);
    const std::uint64_t day_seed = seed.value_or(loaded.scenario.seed);
    const day::Report report = simulated ? cli::play_virtual_day(loaded.scenario, day_seed, options)
                                         : cli::play_day(loaded.scenario, day_seed, options);
    std::cout << report.format_table();
    return report.has_passed() ? 0 : 1;
}

// Runs a stand-in media node, alone on its rack, until SIGINT or SIGTERM.
int run_node(const standins::NodeSettings& settings, double link_kb, int streams, bool warm) {
    ::signal(SIGPIPE, SIG_IGN);
    io::EvLoop loop(io::system_seed());
    fleet::FleetSpec spec;
    spec.rack_kb = {1e12};
    spec.full_utilization = 1;
    fleet::Fleet fleet(spec);
    const int fleet_index = fleet.add_node({0, link_kb, streams});
    standins::NodeEmulator stand_in(loop, fleet, fleet_index, settings, [](const standins::SocketEvent& tap) {
        std::cout << nlohmann::ordered_json{{"at", tap.at},
                                            {"what", tap.type},
                                            {"director", tap.director},
                                            {"session", tap.session},
                                            {"attempt", tap.attempt},
                                            {"sid", tap.sid},
                                            {"status", tap.status},
                                            {"answer", tap.outcome}}
                         .dump()
                  << std::endl;
    });
    stand_in.start(warm);
    std::cerr << "node " << settings.name << " at " << stand_in.address().text() << "\n";
    for (const int signal : {SIGINT, SIGTERM}) loop.on_signal(signal, [&] { loop.stop(); });
    loop.run();
    return 0;
}

// Runs a stand-in server list with the given instances, each as ID=ADDRESS:PORT@KIND, until SIGINT or
// SIGTERM.
int run_list(const std::string& listen, const std::string& service, const std::vector<std::string>& nodes) {
    ::signal(SIGPIPE, SIG_IGN);
    io::EvLoop loop(io::system_seed());
    standins::ServerListEmulator server_list(loop, io::Address::parse(listen), service, {});
    int position = 0;
    for (const std::string& text : nodes) {
        const std::size_t equals_sign = text.find('='), at_sign = text.rfind('@');
        if (equals_sign == std::string::npos || at_sign == std::string::npos || at_sign < equals_sign)
            throw std::invalid_argument("\"" + text + "\": expected ID=ADDRESS:PORT@KIND");
        standins::ListedServer entry;
        entry.id = text.substr(0, equals_sign);
        entry.address = io::Address::parse(text.substr(equals_sign + 1, at_sign - equals_sign - 1));
        entry.kind = text.substr(at_sign + 1);
        entry.position = position++;
        server_list.set_server(entry);
    }
    std::cerr << "list at " << server_list.address().text() << "\n";
    for (const int signal : {SIGINT, SIGTERM}) loop.on_signal(signal, [&] { loop.stop(); });
    loop.run();
    return 0;
}

// Plays one session as a viewer and prints each event. Returns 1 if it did not start to play.
int play_session(const std::string& director, standins::PlayerSettings settings) {
    ::signal(SIGPIPE, SIG_IGN);
    io::EvLoop loop(io::system_seed());
    http::Client client(loop, {});
    const io::Address address = io::Address::parse(director);
    bool started = false;
    standins::PlayerEmulator viewer(
        loop, client, settings, [&] { return std::make_pair(std::string("director"), address); },
        [&](const standins::SocketEvent& tap) {
            std::cout << std::llround(loop.now()) << " " << tap.type << (tap.outcome.empty() ? "" : " ")
                      << tap.outcome << std::endl;
        },
        [&](const standins::PlayerResult& result) {
            started = result.started;
            std::cout << (result.started ? "played" : "did not play") << " after " << result.tries
                      << " tries, worth " << result.earned_worth << " of " << result.offered_worth
                      << std::endl;
            loop.stop();
        });
    loop.run();
    return started ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"ivyfield: places and shapes video sessions on streaming servers"};
    app.set_version_flag("--version", IVYFIELD_VERSION);
    app.require_subcommand(1);
    int exit_code = 0;

    CLI::App* version = app.add_subcommand("version", "Print the version");
    version->callback([] { std::cout << "ivyfield " IVYFIELD_VERSION "\n"; });

    std::string file;
    CLI::App* serve_command = app.add_subcommand(
        "serve",
        "Run a director: players connect to `listen`, the server list comes from `list.consul`.\n"
        "Example:  ivyfield serve --config examples/director.json");
    serve_command->add_option("--config", file, "the director's JSON file; see config/schema.json")
        ->required();
    serve_command->callback([&] { exit_code = serve(file); });
    CLI::App* check_command = app.add_subcommand(
        "check",
        "Check a director's JSON file and print each error with its path; exit code 1: it has errors");
    check_command->add_option("file", file)->required();
    check_command->callback([&] { exit_code = check(file); });

    CLI::App* relay_command = app.add_subcommand(
        "relay",
        "Run a director on the platform, in the foreground; configured by three environment variables:\n"
        "  RELAY_NAME     its name, the same after a restart\n"
        "  RELAY_LISTEN   ADDRESS:PORT where viewers connect\n"
        "  RELAY_CONFIG   path of its JSON file: limits, name server, initial server list, settings\n"
        "SIGHUP reads the file again; SIGTERM answers all accepted requests and ends.");
    relay_command->callback([&] { exit_code = run_relay(); });

    std::uint64_t seed = 0;
    bool simulated = false;
    ivyfield::cli::DayOptions day_options;
    CLI::App* day_command = app.add_subcommand(
        "day",
        "Play a day file: each director in its own process, list, nodes and players on loopback; print\n"
        "what became of the sessions and the verdict on the six rules. Exit code 1: a rule was broken.\n"
        "Example:  ivyfield day examples/days/bad-day.json --seed 7 --report report.json");
    day_command->add_option("file", file, "see config/day.schema.json")->required();
    CLI::Option* seed_option = day_command->add_option("--seed", seed, "seed to use instead of the file's");
    day_command->add_flag("--virtual", simulated, "simulated time and network, all in this process");
    day_command->add_option("--report", day_options.report_path, "write the report as JSON");
    day_command->add_option("--logs", day_options.log_folder, "an existing folder for the directors' logs");
    day_command->add_option("--taps", day_options.tap_path, "write the recorded traffic as JSON lines");
    day_command->callback([&] {
        exit_code = play_day_file(file, *seed_option ? std::optional<std::uint64_t>(seed) : std::nullopt,
                                  simulated, day_options);
    });

    ivyfield::standins::NodeSettings node_settings;
    node_settings.rung_kb = {134, 230, 396, 683, 1177};
    std::string listen = "127.0.0.1:0";
    double link_kb = 20000;
    int streams = 100;
    bool cold = false;
    std::vector<std::string> live;
    CLI::App* node_command = app.add_subcommand(
        "node",
        "Run a stand-in media node; prints each event as a JSON line.\n"
        "Example:  ivyfield node --name n1 --listen 127.0.0.1:9001 --link-kb 20000 --streams 50");
    node_command->add_option("--name", node_settings.name);
    node_command->add_option("--listen", listen)->capture_default_str();
    node_command->add_option("--link-kb", link_kb, "kB a second")->capture_default_str();
    node_command->add_option("--streams", streams)->capture_default_str();
    node_command->add_option("--rungs-kb", node_settings.rung_kb, "rates of the ladder's rungs, kB a second")
        ->delimiter(',');
    node_command->add_option(
        "--media", node_settings.media_folder,
        "serve the media in this folder: for each rung RUNG/index.m3u8 and its segments, and\n"
        "master.m3u8 if it gives codecs and sizes");
    node_command
        ->add_option("--live", live,
                     "classes whose titles are live: served as a sliding window over the folder")
        ->delimiter(',');
    node_command->add_flag("--cold", cold);
    node_command->callback([&] {
        node_settings.listen = ivyfield::io::Address::parse(listen);
        for (const std::string& name : live) node_settings.classes.push_back({name, 1, true});
        exit_code = run_node(node_settings, link_kb, streams, !cold);
    });
    std::string service = "media";
    std::vector<std::string> instances;
    CLI::App* list_command = app.add_subcommand(
        "list",
        "Run a stand-in server list with Consul's health API.\n"
        "Example:  ivyfield list --listen 127.0.0.1:8500 n1=127.0.0.1:9001@small n2=127.0.0.1:9002@large");
    list_command->add_option("--listen", listen)->capture_default_str();
    list_command->add_option("--service", service)->capture_default_str();
    list_command->add_option("instances", instances, "ID=ADDRESS:PORT@KIND")->required();
    list_command->callback([&] { exit_code = run_list(listen, service, instances); });
    std::string director = "127.0.0.1:8080";
    ivyfield::standins::PlayerSettings viewer;
    viewer.rung_kb = node_settings.rung_kb;
    viewer.rung_worth = {0.16, 0.4, 0.61, 0.81, 1.0};
    viewer.max_rung = 4;
    viewer.name = "viewer";
    CLI::App* play_command = app.add_subcommand("play",
                                                "Play one session as a viewer and print each event.\n"
                                                "Example:  ivyfield play --director 127.0.0.1:8080 --tenant "
                                                "south-donors --class prep-video --title t1");
    play_command->add_option("--director", director)->capture_default_str();
    play_command->add_option("--tenant", viewer.tenant)->required();
    play_command->add_option("--class", viewer.cls)->required();
    play_command->add_option("--title", viewer.title)->required();
    play_command->add_option("--sid", viewer.sid, "CMCD's sid")->default_val("one-viewer");
    play_command->add_option("--length-ms", viewer.watch_duration)->default_val(10000);
    play_command->callback([&] { exit_code = play_session(director, viewer); });

    CLI::App* hints =
        app.add_subcommand("hints", "Convert CMCD and CMSD payloads to JSON and back, one per line");
    hints->require_subcommand(1);
    std::string kind;
    const auto add_kind = [&kind](CLI::App* command) {
        command->add_option("--kind", kind, "cmcd (CTA-5004), cmsd-static or cmsd-dynamic (CTA-5006)")
            ->required()
            ->check(CLI::IsMember({"cmcd", "cmsd-static", "cmsd-dynamic"}));
    };
    CLI::App* decode = hints->add_subcommand(
        "decode",
        "Read one payload per line (already percent-decoded), print one JSON object per line.\n"
        "A malformed key is dropped, without the others, and listed with the reason.\n"
        "Example:  echo 'bl=21300,sid=\"a\",br=x' | ivyfield hints decode --kind cmcd");
    add_kind(decode);
    decode->callback([&] { exit_code = ivyfield::cli::decode_hints(kind, std::cin, std::cout); });
    CLI::App* encode = hints->add_subcommand(
        "encode",
        "Read one JSON object per line, as printed by decode, print one payload per line.\n"
        "Keys that can't be sent are left out and reported on standard error; the exit code is 1 then.\n"
        "Example:  echo '{\"keys\":{\"bl\":21342,\"su\":true}}' | ivyfield hints encode --kind cmcd");
    add_kind(encode);
    encode->callback([&] { exit_code = ivyfield::cli::encode_hints(kind, std::cin, std::cout, std::cerr); });

    try {
        CLI11_PARSE(app, argc, argv);
    } catch (const std::exception& e) {
        std::cerr << "ivyfield: " << e.what() << "\n";
        return 1;
    }
    return exit_code;
}
