// The command `ivyfield`.
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
    io::raise_file_limit();
    const std::uint64_t seed = loaded.config.seed.value_or(io::system_seed());
    io::EvLoop loop(seed);
    cli::DirectorProcess director(loop, loaded.config, seed);
    for (const int number : {SIGINT, SIGTERM})
        loop.on_signal(number, [&] { director.stop([&] { loop.stop(); }); });
    loop.run();
    io::block_termination_signals();
    return 0;
}

// The platform names the director by three variables and nothing else.
std::string variable(const char* name) {
    const char* value = std::getenv(name);
    if (!value || !*value)
        throw std::runtime_error(std::string(name) + " is not set; see ivyfield relay --help");
    return value;
}
int relay_on_platform() {
    std::string path;
    config::RelayConfig config;
    try {
        const std::string name = variable("RELAY_NAME");
        const std::string listen = variable("RELAY_LISTEN");
        const std::string file = variable("RELAY_CONFIG");
        io::Address address;
        try {
            address = io::Address::parse(listen);
        } catch (const std::invalid_argument& e) {
            throw std::runtime_error(std::string("RELAY_LISTEN: ") + e.what());
        }
        path = file;
        config = config::read_relay_config(config::read_file(path));
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
    // Before anybody can know that we run: a signal that nobody waits for ends the process.
    std::optional<cli::RelayProcess> director;
    loop.on_signal(SIGHUP, [&] {
        try {
            director->reload(config::read_relay_config(config::read_file(path)));
        } catch (const std::exception& e) {
            director->log_event(log::Level::error, "not reloaded", {{"why", path + ": " + e.what()}});
        }
    });
    for (const int number : {SIGINT, SIGTERM})
        loop.on_signal(number, [&] { director->stop([&] { loop.stop(); }); });
    director.emplace(loop, config, "-");
    loop.run();
    io::block_termination_signals();
    return 0;
}

int play(const std::string& path, std::optional<std::uint64_t> seed, bool simulated,
         const cli::DayOptions& options) {
    const day::LoadedDay loaded = day::load_day(config::read_file(path));
    for (const config::Fault& f : loaded.faults)
        std::cerr << path << ": " << (f.path.empty() ? "/" : f.path) << ": " << f.why << "\n";
    if (!loaded.faults.empty()) return 2;
    ::signal(SIGPIPE, SIG_IGN);
    const std::uint64_t with = seed.value_or(loaded.day.seed);
    const day::Report report = simulated ? cli::play_virtual_day(loaded.day, with, options)
                                         : cli::play_day(loaded.day, with, options);
    std::cout << report.table();
    return report.good() ? 0 : 1;
}

// A node, alone on its rack, until it is stopped.
int node(const standins::NodeSettings& settings, double link_kb, int streams, bool warm) {
    ::signal(SIGPIPE, SIG_IGN);
    io::EvLoop loop(io::system_seed());
    fleet::FleetSpec spec;
    spec.rack_kb = {1e12};
    spec.refuses_from = 1;
    fleet::Fleet fleet(spec);
    const int number = fleet.add({0, link_kb, streams});
    standins::Node one(loop, fleet, number, settings, [](const standins::Tap& t) {
        std::cout << nlohmann::ordered_json{{"at", t.at},
                                            {"what", t.what},
                                            {"director", t.director},
                                            {"session", t.session},
                                            {"attempt", t.attempt},
                                            {"sid", t.sid},
                                            {"status", t.status},
                                            {"answer", t.answer}}
                         .dump()
                  << std::endl;
    });
    one.start(warm);
    std::cerr << "node " << settings.name << " at " << one.address().text() << "\n";
    for (const int signal : {SIGINT, SIGTERM}) loop.on_signal(signal, [&] { loop.stop(); });
    loop.run();
    return 0;
}

// The list: instances given as ID=ADDRESS[:KIND]... until it is stopped.
int list(const std::string& listen, const std::string& service, const std::vector<std::string>& nodes) {
    ::signal(SIGPIPE, SIG_IGN);
    io::EvLoop loop(io::system_seed());
    standins::List one(loop, io::Address::parse(listen), service, {});
    int position = 0;
    for (const std::string& text : nodes) {
        const std::size_t eq = text.find('='), at = text.rfind('@');
        if (eq == std::string::npos || at == std::string::npos || at < eq)
            throw std::invalid_argument("\"" + text + "\": wanted ID=ADDRESS:PORT@KIND");
        standins::Listed entry;
        entry.id = text.substr(0, eq);
        entry.address = io::Address::parse(text.substr(eq + 1, at - eq - 1));
        entry.kind = text.substr(at + 1);
        entry.position = position++;
        one.set(entry);
    }
    std::cerr << "list at " << one.address().text() << "\n";
    for (const int signal : {SIGINT, SIGTERM}) loop.on_signal(signal, [&] { loop.stop(); });
    loop.run();
    return 0;
}

// One viewer, who prints what happens to it.
int play_one(const std::string& director, standins::ViewerSettings v) {
    ::signal(SIGPIPE, SIG_IGN);
    io::EvLoop loop(io::system_seed());
    http::Client client(loop, {});
    const io::Address address = io::Address::parse(director);
    bool started = false;
    standins::Viewer viewer(
        loop, client, v, [&] { return std::make_pair(std::string("director"), address); },
        [&](const standins::Tap& t) {
            std::cout << std::llround(loop.now()) << " " << t.what << (t.answer.empty() ? "" : " ")
                      << t.answer << std::endl;
        },
        [&](const standins::ViewerResult& r) {
            started = r.started;
            std::cout << (r.started ? "played" : "did not play") << " after " << r.tries << " tries, worth "
                      << r.earned << " of " << r.offered << std::endl;
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

    CLI::App* relay_command = app.add_subcommand(
        "relay",
        "Run a director on the platform, in the foreground; told by three variables:\n"
        "  RELAY_NAME     its name, the same after a restart\n"
        "  RELAY_LISTEN   ADDRESS:PORT where viewers connect\n"
        "  RELAY_CONFIG   path of its JSON file: limits, name server, list of the start, settings\n"
        "SIGHUP reads the file again; SIGTERM answers what was taken and ends.");
    relay_command->callback([&] { code = relay_on_platform(); });

    std::uint64_t seed = 0;
    bool simulated = false;
    ivyfield::cli::DayOptions day_options;
    CLI::App* day_command = app.add_subcommand(
        "day",
        "Play a day file: directors in processes of their own, list, nodes and players on loopback; print\n"
        "what became of the sessions and the verdict on the six rules. Exit code 1: a rule was broken.\n"
        "Example:  ivyfield day examples/days/bad-day.json --seed 7 --report report.json");
    day_command->add_option("file", file, "see config/day.schema.json")->required();
    CLI::Option* seed_option = day_command->add_option("--seed", seed, "instead of the file's");
    day_command->add_flag("--virtual", simulated, "simulated time and network, all in this process");
    day_command->add_option("--report", day_options.report, "write the report as JSON");
    day_command->add_option("--logs", day_options.logs, "an existing folder for the directors' logs");
    day_command->add_option("--taps", day_options.taps, "write what crossed the sockets, as JSON lines");
    day_command->callback([&] {
        code = play(file, *seed_option ? std::optional<std::uint64_t>(seed) : std::nullopt, simulated,
                    day_options);
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
        "Run a stand-in media node; prints what happens to it.\n"
        "Example:  ivyfield node --name n1 --listen 127.0.0.1:9001 --link-kb 20000 --streams 50");
    node_command->add_option("--name", node_settings.name);
    node_command->add_option("--listen", listen)->capture_default_str();
    node_command->add_option("--link-kb", link_kb, "kB a second")->capture_default_str();
    node_command->add_option("--streams", streams)->capture_default_str();
    node_command->add_option("--rungs-kb", node_settings.rung_kb, "the ladder")->delimiter(',');
    node_command->add_option(
        "--media", node_settings.media,
        "serve this folder: RUNG/index.m3u8 with its segments beside it for each rung, and\n"
        "master.m3u8 where it tells codecs and sizes");
    node_command->add_option("--live", live, "classes whose titles are live: a window over the folder")
        ->delimiter(',');
    node_command->add_flag("--cold", cold);
    node_command->callback([&] {
        node_settings.listen = ivyfield::io::Address::parse(listen);
        for (const std::string& name : live) node_settings.classes.push_back({name, 1, true});
        code = node(node_settings, link_kb, streams, !cold);
    });
    std::string service = "media";
    std::vector<std::string> instances;
    CLI::App* list_command = app.add_subcommand(
        "list",
        "Run a stand-in server list that answers as Consul's health API does.\n"
        "Example:  ivyfield list --listen 127.0.0.1:8500 n1=127.0.0.1:9001@small n2=127.0.0.1:9002@large");
    list_command->add_option("--listen", listen)->capture_default_str();
    list_command->add_option("--service", service)->capture_default_str();
    list_command->add_option("instances", instances, "ID=ADDRESS:PORT@KIND")->required();
    list_command->callback([&] { code = list(listen, service, instances); });
    std::string director = "127.0.0.1:8080";
    ivyfield::standins::ViewerSettings viewer;
    viewer.rung_kb = node_settings.rung_kb;
    viewer.rung_worth = {0.16, 0.4, 0.61, 0.81, 1.0};
    viewer.top = 4;
    viewer.name = "viewer";
    CLI::App* play_command = app.add_subcommand("play",
                                                "Play one session as a viewer would and print what happens.\n"
                                                "Example:  ivyfield play --director 127.0.0.1:8080 --tenant "
                                                "south-donors --class prep-video --title t1");
    play_command->add_option("--director", director)->capture_default_str();
    play_command->add_option("--tenant", viewer.tenant)->required();
    play_command->add_option("--class", viewer.cls)->required();
    play_command->add_option("--title", viewer.title)->required();
    play_command->add_option("--sid", viewer.sid, "CMCD's sid")->default_val("one-viewer");
    play_command->add_option("--length-ms", viewer.length)->default_val(10000);
    play_command->callback([&] { code = play_one(director, viewer); });

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
