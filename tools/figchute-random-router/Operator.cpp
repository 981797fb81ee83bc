#include "Operator.h"

#include "ControlProcess.h"

#include <fmt/format.h>
#include <iterator>
#include <memory>

namespace figchute::simulation {
namespace {

constexpr std::int64_t kFirstPrepaid = 100'000;
constexpr int kTries = 8;
constexpr int kEndlessTries = 1'000'000;
constexpr Duration kResendAfter = std::chrono::milliseconds(1000);
constexpr auto kOperator = "operator";

constexpr auto kServices =
  R"({"name":"chat","maxConnections":400,"engine":{"slots":24,"kvCapacity":450000,"kvTokenBytes":1000,"stride":6}},
{"name":"orders","maxConnections":100})";

std::string workspacesOf(const ConfigurationText::Budgets& budgets)
{
  std::string text;
  for (const auto& [name, prepaid] : budgets) {
    text += fmt::format(R"({}{{"name":"{}","keys":["key-{}"],"prepaid":{}}})",
                        text.empty() ? "" : ",",
                        name,
                        name,
                        prepaid);
  }
  return text;
}

std::string textOf(std::uint64_t version,
                   const std::string& mark,
                   const std::string& orders,
                   const std::string& workspaces)
{
  return fmt::format(
    R"({{"version":{},"routes":[
{{"name":"chat-{}","host":"svc.example","pathPrefix":"/chat/","kind":"stream","resumable":true,"timeoutMs":4000,"targetMs":500,"maxAttempts":3,"service":"chat"}},
{{"name":"orders","host":"svc.example","pathPrefix":"/orders/","kind":"once","timeoutMs":2000,"targetMs":300,"maxAttempts":2,"service":"{}"}},
{{"name":"stock","host":"svc.example","pathPrefix":"/stock/","kind":"repeatable","timeoutMs":2000,"targetMs":200,"maxAttempts":3,"service":"orders"}}],
"services":[{}],"workspaces":[{}]}})",
    version,
    mark,
    orders,
    kServices,
    workspaces);
}

} // namespace

std::string ConfigurationText::valid(std::uint64_t version,
                                     std::uint64_t mark,
                                     const Budgets& budgets)
{
  return textOf(version, std::to_string(mark), "orders", workspacesOf(budgets));
}

std::string ConfigurationText::invalid(std::uint64_t version,
                                       std::uint64_t fault,
                                       const Budgets& budgets)
{
  const auto workspaces = workspacesOf(budgets);
  switch (fault % 4) {
    case 0:
      return textOf(version, "unknown-service", "nowhere", workspaces);
    case 1:
      return textOf(version, "twice", "orders", workspaces + "," + workspaces);
    case 2: {
      auto text = textOf(version, "cut", "orders", workspaces);
      text.resize(text.size() / 2);
      return text;
    }
    default:
      return textOf(version, "negative", "orders", R"({"name":"w1","keys":["k"],"prepaid":-5})");
  }
}

Operators::Operators(World& world, int workspaces)
  : world_(world)
{
  for (int i = 1; i <= workspaces; ++i) {
    budgets_["w" + std::to_string(i)] = kFirstPrepaid;
  }
  world_.network.place(ProcessId(kOperator), 0);
}

ProcessId Operators::anyControl()
{
  const auto place = world_.random.below(world_.controls.size());
  return std::next(world_.controls.begin(), static_cast<std::ptrdiff_t>(place))->first;
}

std::string Operators::offer(std::uint64_t version, const ConfigurationText::Budgets& budgets)
{
  auto bytes = ConfigurationText::valid(version, ++mark_, budgets);
  const auto parsed = world_.dialect->parseConfiguration(bytes);
  require(parsed.has_value(), "operator: a valid configuration is refused by the parser");
  world_.tally.offered(*parsed, bytes);
  history_.emplace_back(version, bytes);
  return bytes;
}

void Operators::begin()
{
  lastVersion_ = 1;
  put(offer(1, budgets_), 1, kEndlessTries);
  work();
}

void Operators::raiseAll(std::int64_t tokens)
{
  for (auto& [name, prepaid] : budgets_) {
    prepaid += tokens;
  }
  lastVersion_ = std::max(lastVersion_, world_.tally.newest()) + 1;
  put(offer(lastVersion_, budgets_), lastVersion_, kEndlessTries);
}

void Operators::work()
{
  world_.schedule.after(Duration(world_.random.between(50'000, 900'000)), [this] {
    if (working_) {
      act();
      work();
    }
  });
}

void Operators::act()
{
  const auto action = world_.random.below(100);
  if (action < 35) {
    change();
  } else if (action < 45) {
    // Two operators race with different contents of one version.
    ++lastVersion_;
    auto raised = budgets_;
    raised.begin()->second += 5'000;
    put(offer(lastVersion_, budgets_), lastVersion_, kTries);
    put(offer(lastVersion_, raised), lastVersion_, kTries);
  } else if (action < 55 && !history_.empty()) {
    const auto& [version, bytes] = history_[world_.random.below(history_.size())];
    put(bytes, version, 1);
  } else if (action < 65) {
    putInvalid();
  } else if (action < 75) {
    putOther();
  } else {
    read();
  }
}

void Operators::change()
{
  auto workspace = budgets_.begin();
  std::advance(workspace, static_cast<std::ptrdiff_t>(world_.random.below(budgets_.size())));
  if (world_.random.chance(0.3)) {
    workspace->second = workspace->second * world_.random.between(20, 90) / 100;
  } else {
    workspace->second += world_.random.between(1'000, 90'000);
  }
  lastVersion_ += 1 + world_.random.below(3);
  put(offer(lastVersion_, budgets_), lastVersion_, kTries);
}

void Operators::putInvalid()
{
  auto huge = budgets_;
  for (auto& [name, prepaid] : huge) {
    prepaid += 10'000'000;
  }
  const auto bytes = ConfigurationText::invalid(lastVersion_ + 1, world_.random.below(4), huge);
  world_.tally.forbidden(bytes);
  put(bytes, 0, 1);
}

void Operators::putOther()
{
  // Only an acknowledged version is certainly taken.
  const auto version = world_.tally.newest();
  if (version == 0) {
    return;
  }
  auto huge = budgets_;
  for (auto& [name, prepaid] : huge) {
    prepaid += 10'000'000;
  }
  const auto bytes = ConfigurationText::valid(version, ++mark_, huge);
  world_.tally.forbidden(bytes);
  put(bytes, version, 2);
}

void Operators::put(const std::string& bytes, std::uint64_t version, int tries)
{
  const ProcessId self(kOperator);
  const auto to = anyControl();
  const auto answered = std::make_shared<bool>(false);
  ++sent_;
  world_.network.note(self, to, fmt::format("put version={}", version));
  world_.network.call(self, to, [this, self, to, bytes, version, answered] {
    const auto control = world_.controls.find(to);
    if (control == world_.controls.end()) {
      return;
    }
    control->second->putConfiguration(
      bytes, [this, self, to, version, answered](const Expected<void>& result) {
        const bool taken = result.has_value();
        const bool invalid = !taken && result.error().kind == ErrorKind::documentInvalid;
        world_.network.call(to, self, [this, version, answered, taken, invalid] {
          if (taken && version > 0) {
            *answered = true;
            world_.tally.acknowledged(version);
          }
          if (invalid) {
            *answered = true;
            ++refused_;
            require(version == 0, "operator: a valid configuration was refused as invalid");
          }
        });
      });
  });
  if (tries > 1) {
    world_.schedule.after(kResendAfter, [this, bytes, version, tries, answered] {
      if (!*answered) {
        put(bytes, version, tries - 1);
      }
    });
  }
}

void Operators::read()
{
  const ProcessId self(kOperator);
  const auto to = anyControl();
  const auto floor = world_.tally.readFloor();
  world_.network.call(self, to, [this, self, to, floor] {
    const auto control = world_.controls.find(to);
    if (control == world_.controls.end()) {
      return;
    }
    control->second->readConfiguration([this, self, to, floor](const Expected<std::string>& got) {
      if (!got) {
        return;
      }
      world_.network.call(to, self, [this, floor, bytes = *got] {
        const auto parsed = world_.dialect->parseConfiguration(bytes);
        world_.tally.readDone(floor, parsed ? parsed->version : 0, bytes);
      });
    });
  });
}

} // namespace figchute::simulation
