// Classes, names, tenants, limits and costs must come from the settings alone: two directors whose settings
// differ only in order and names decide the same, and the program contains no name of a deployment.
#include <filesystem>
#include <fstream>
#include <random>

#include "tests/relay/rig.hpp"

namespace ivyfield::relaytest {
namespace {

struct ClassSpec {
    std::string name, effect;
    double startup_target, patience, importance;
    int floor, top, seats;
    bool live;
    double rate_factor;
};
struct TenantSpec {
    std::string name;
    double quota, share;
};

std::string settings_text(const std::vector<ClassSpec>& classes, const std::vector<TenantSpec>& orgs) {
    const auto join = [](const auto& all, const auto& one) {
        std::string text;
        for (const auto& item : all) text += (text.empty() ? "" : ",") + one(item);
        return text;
    };
    std::string text = make_director_config({{"s-0", {"127.0.0.1", 9001}}}, "127.0.0.1:5300", 256, 8000);
    const auto replace_list = [&](const std::string& key, const std::string& value) {
        const std::size_t at = text.find("\"" + key + "\":[");
        ASSERT_NE(at, std::string::npos) << key;
        const std::size_t from = at + key.size() + 4;
        int depth = 1;
        std::size_t to = from;
        for (; depth > 0; ++to) depth += text[to] == '[' ? 1 : text[to] == ']' ? -1 : 0;
        text.replace(from, to - 1 - from, value);
    };
    const auto number = [](double value) { return nlohmann::json(value).dump(); };
    replace_list("classes", join(classes, [&](const ClassSpec& c) {
                     return R"({"name":")" + c.name + R"(","effect":")" + c.effect + R"(","objective_ms":)" +
                            number(c.startup_target) + R"(,"give_up_ms":)" + number(c.patience) +
                            R"(,"importance":)" + number(c.importance) + "}";
                 }));
    replace_list("orgs", join(orgs, [&](const TenantSpec& o) {
                     return R"({"name":")" + o.name + R"(","quota_rps":)" + number(o.quota) + R"(,"share":)" +
                            number(o.share) + "}";
                 }));
    replace_list("class_floor", join(classes, [](const ClassSpec& c) { return std::to_string(c.floor); }));
    replace_list("class_live",
                 join(classes, [](const ClassSpec& c) { return std::string(c.live ? "true" : "false"); }));
    replace_list("rate_factor", join(classes, [&](const ClassSpec& c) { return number(c.rate_factor); }));
    replace_list("top_by_class", join(classes, [](const ClassSpec& c) { return std::to_string(c.top); }));
    replace_list("licence_cap", join(classes, [](const ClassSpec& c) { return std::to_string(c.seats); }));
    return text;
}

// Returns everything that a director decides on a random sequence of events, as text. `cls` and `org` are the
// indices of the classes and tenants in its settings.
std::string record_decisions(const config::RelayConfig& config, const std::vector<int>& cls,
                             const std::vector<int>& org, unsigned seed) {
    std::string out;
    std::mt19937 random(seed);
    Director director(config.settings, 99);
    std::multimap<Time, std::uint64_t> alarms;
    std::map<SessionId, std::pair<SendSetup, int>> open;
    std::map<SessionId, int> attempts;
    Time now = 1000;
    const auto feed = [&](const Event& event) {
        std::vector<Action> actions;
        director.handle(now, event, actions);
        out += "|" + std::to_string(event.index());
        for (const Action& a : actions) {
            out += " " + std::to_string(a.index());
            if (const auto* x = std::get_if<SendSetup>(&a)) {
                out += ":" + std::to_string(x->id) + ">" + std::to_string(x->server) + "@" +
                       std::to_string(x->expires);
                open[x->id] = {*x, attempts[x->id]++};
            }
            if (const auto* x = std::get_if<Reject>(&a))
                out += ":" + std::to_string(x->id) + "w" + std::to_string(x->retry_after);
            if (const auto* x = std::get_if<Fail>(&a)) out += ":" + std::to_string(x->id);
            if (const auto* x = std::get_if<SetRung>(&a))
                out += ":" + std::to_string(x->id) + "r" + std::to_string(x->rung);
            if (const auto* x = std::get_if<SetTimer>(&a)) alarms.emplace(x->at, x->timer_id);
        }
    };
    ServerList list;
    for (ServerId id = 1; id <= 6; ++id) {
        ServerEntry e;
        e.id = id, e.position = static_cast<int>(id), e.weight = 1, e.state = ServerState::ready;
        e.last_start = id == 6 ? 900 : 0;
        list.entries.push_back(e);
    }
    feed(list);
    for (SessionId id = 1; id <= 400; ++id) {
        now += static_cast<double>(random() % 60);
        while (!alarms.empty() && alarms.begin()->first <= now) {
            const auto mark = alarms.begin()->second;
            alarms.erase(alarms.begin());
            feed(TimerExpired{mark});
        }
        SessionRequest q;
        q.id = id;
        const std::size_t which = random() % cls.size();
        q.cls = cls[which];
        q.tenant = org[random() % org.size()];
        q.viewer = random() % 100;
        q.title = 1 + random() % 8;
        q.deadline = now + config.settings.classes[static_cast<std::size_t>(q.cls)].patience;
        q.cell_count = 12, q.top_rung = 1;
        feed(q);
        if (open.empty()) continue;
        auto it = open.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random() % open.size()));
        const auto [send, attempt] = it->second;
        const auto outcome = random() % 8;
        if (outcome == 0) {
            open.erase(it);
            feed(AttemptEnded{send.id, attempt, send.server, Outcome::full, 5, false, {}});
        } else if (outcome == 1) {
            open.erase(it);
            feed(AttemptEnded{send.id, attempt, send.server, Outcome::reset, 5, false, {}});
        } else if (outcome < 5) {
            open.erase(it);
            feed(SessionEstablished{send.id, attempt, send.server, 40});
            feed(AttemptEnded{send.id, attempt, send.server, Outcome::ended, 900, true, {}});
        }
    }
    return out;
}

TEST(RelaySettings, DecisionsDependOnNeitherNamesNorOrder) {
    const std::vector<ClassSpec> classes = {{"gold one", "side_effect", 1500, 5000, 3, 1, 1, 3, false, 1},
                                            {"silver", "pure", 800, 4000, 1, 0, 1, 0, true, 1},
                                            {"tin, or so", "pure", 400, 1200, 0.5, 0, 0, 0, false, 0.7}};
    const std::vector<TenantSpec> orgs = {{"first customer", 20, 0.5}, {"second", 6, 0.3}, {"third", 2, 0.2}};
    std::vector<ClassSpec> other = {classes[2], classes[0], classes[1]};
    other[0].name = "a", other[1].name = "silver", other[2].name = "gold one";  // names are swapped too
    std::vector<TenantSpec> others = {orgs[1], orgs[2], orgs[0]};
    others[0].name = "first customer", others[1].name = "x y", others[2].name = "second";
    const auto one = config::read_relay_config(settings_text(classes, orgs));
    const auto two = config::read_relay_config(settings_text(other, others));
    ASSERT_EQ(one.settings.classes.size(), 3u);
    ASSERT_EQ(two.settings.classes[1].seats, 3);
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const std::string a = record_decisions(one, {0, 1, 2}, {0, 1, 2}, seed);
        ASSERT_GT(std::count(a.begin(), a.end(), '>'), 50) << "the director decided nothing";
        EXPECT_EQ(a, record_decisions(two, {1, 2, 0}, {2, 0, 1}, seed)) << "seed " << seed;
        // The order does matter: with the wrong class indices the decisions differ.
        EXPECT_NE(a, record_decisions(two, {0, 1, 2}, {2, 0, 1}, seed)) << "seed " << seed;
    }
}

TEST(RelaySettings, TheProgramContainsNoDeploymentNames) {
    namespace fs = std::filesystem;
    const fs::path root = IVYFIELD_SOURCE_DIR;
    const auto read = [](const fs::path& path) {
        std::ifstream in(path, std::ios::binary);
        return std::string(std::istreambuf_iterator<char>(in), {});
    };
    // The repository's own sites, and any deployments that lie beside the checkout.
    std::vector<fs::path> sites;
    for (const fs::path& folder : {root / "deploy/sites", root / "../given/kit"}) {
        if (!fs::exists(folder)) continue;
        for (const auto& one : fs::recursive_directory_iterator(folder))
            if (one.path().extension() == ".toml") sites.push_back(one.path());
    }
    ASSERT_GE(sites.size(), 2u);
    std::set<std::string> names;
    for (const fs::path& site : sites) {
        const std::string text = read(site);
        for (std::size_t at = 0; (at = text.find('"', at)) != std::string::npos;) {
            const std::size_t end = std::min(text.find('"', at + 1), text.size());
            const std::string name = text.substr(at + 1, end - at - 1);
            if (name.find('-') != std::string::npos && name.find_first_of(" .\n") == std::string::npos)
                names.insert(name);
            at = end + 1;
        }
    }
    ASSERT_GE(names.size(), 8u);
    int files = 0;
    const auto check_file = [&](const fs::path& path) {
        files += 1;
        const std::string text = read(path);
        for (const std::string& name : names)
            EXPECT_EQ(text.find("\"" + name + "\""), std::string::npos) << path << " names " << name;
    };
    for (const fs::path& folder : {root / "src", root / "include"})
        for (const auto& one : fs::recursive_directory_iterator(folder))
            if (one.is_regular_file()) check_file(one.path());
    check_file(root / "deploy/balancer.toml");
    EXPECT_GT(files, 50);
}

}  // namespace
}  // namespace ivyfield::relaytest
