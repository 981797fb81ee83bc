#include "Operator.h"

#include "ControlProcess.h"

#include <fmt/format.h>
#include <iterator>
#include <memory>

namespace figchute::simulation {
namespace {

constexpr std::int64_t kFirstPrepaid = 100'000;
constexpr int kMaxAttempts = 8;
constexpr int kUnlimitedAttempts = 1'000'000;
constexpr Duration kResendDelay = std::chrono::milliseconds(1000);
constexpr auto kOperatorId = "operator";

constexpr auto kServices =
  R"({"name":"chat","maxConnections":400,"engine":{"slots":24,"kvCapacity":450000,"kvTokenBytes":1000,"stride":6}},
{"name":"orders","maxConnections":100})";

std::string workspacesJson(const ConfigurationText::Budgets& budgets)
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

std::string configurationJson(std::uint64_t version,
                              const std::string& variant,
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
    variant,
    orders,
    kServices,
    workspaces);
}

} // namespace

std::string ConfigurationText::createValid(std::uint64_t version,
                                           std::uint64_t variant,
                                           const Budgets& budgets)
{
  return configurationJson(version, std::to_string(variant), "orders", workspacesJson(budgets));
}

std::string ConfigurationText::createInvalid(std::uint64_t version,
                                             std::uint64_t fault,
                                             const Budgets& budgets)
{
  const auto workspaces = workspacesJson(budgets);
  switch (fault % 4) {
    case 0:
      return configurationJson(version, "unknown-service", "nowhere", workspaces);
    case 1:
      return configurationJson(version, "twice", "orders", workspaces + "," + workspaces);
    case 2: {
      auto text = configurationJson(version, "cut", "orders", workspaces);
      text.resize(text.size() / 2);
      return text;
    }
    default:
      return configurationJson(
        version, "negative", "orders", R"({"name":"w1","keys":["k"],"prepaid":-5})");
  }
}

Operators::Operators(World& world, int workspaces)
  : world_(world)
{
  for (int i = 1; i <= workspaces; ++i) {
    budgets_["w" + std::to_string(i)] = kFirstPrepaid;
  }
  world_.network.setZone(ProcessId(kOperatorId), 0);
}

ProcessId Operators::randomControl()
{
  const auto index = world_.random.below(world_.controls.size());
  return std::next(world_.controls.begin(), static_cast<std::ptrdiff_t>(index))->first;
}

std::string Operators::createConfiguration(std::uint64_t version,
                                           const ConfigurationText::Budgets& budgets)
{
  auto bytes = ConfigurationText::createValid(version, ++lastVariant_, budgets);
  const auto parsed = world_.dialect->parseConfiguration(bytes);
  require(parsed.has_value(), "operator: a valid configuration is refused by the parser");
  world_.tally.addSentConfiguration(*parsed, bytes);
  sentConfigurations_.emplace_back(version, bytes);
  return bytes;
}

void Operators::start()
{
  lastVersion_ = 1;
  putConfiguration(createConfiguration(1, budgets_), 1, kUnlimitedAttempts);
  scheduleAction();
}

void Operators::raiseAllBudgets(std::int64_t tokens)
{
  for (auto& [name, prepaid] : budgets_) {
    prepaid += tokens;
  }
  lastVersion_ = std::max(lastVersion_, world_.tally.newestAcknowledgedVersion()) + 1;
  putConfiguration(createConfiguration(lastVersion_, budgets_), lastVersion_, kUnlimitedAttempts);
}

void Operators::scheduleAction()
{
  world_.schedule.callAfter(Duration(world_.random.between(50'000, 900'000)), [this] {
    if (changesEnabled_) {
      runRandomAction();
      scheduleAction();
    }
  });
}

void Operators::runRandomAction()
{
  const auto actionRoll = world_.random.below(100);
  if (actionRoll < 35) {
    changeBudgets();
  } else if (actionRoll < 45) {
    // Two operators race with different contents for the same version.
    ++lastVersion_;
    auto raisedBudgets = budgets_;
    raisedBudgets.begin()->second += 5'000;
    putConfiguration(createConfiguration(lastVersion_, budgets_), lastVersion_, kMaxAttempts);
    putConfiguration(createConfiguration(lastVersion_, raisedBudgets), lastVersion_, kMaxAttempts);
  } else if (actionRoll < 55 && !sentConfigurations_.empty()) {
    const auto& [version, bytes] =
      sentConfigurations_[world_.random.below(sentConfigurations_.size())];
    putConfiguration(bytes, version, 1);
  } else if (actionRoll < 65) {
    putInvalidConfiguration();
  } else if (actionRoll < 75) {
    putConflictingConfiguration();
  } else {
    readConfiguration();
  }
}

void Operators::changeBudgets()
{
  auto budgetIt = budgets_.begin();
  std::advance(budgetIt, static_cast<std::ptrdiff_t>(world_.random.below(budgets_.size())));
  if (world_.random.chance(0.3)) {
    budgetIt->second = budgetIt->second * world_.random.between(20, 90) / 100;
  } else {
    budgetIt->second += world_.random.between(1'000, 90'000);
  }
  lastVersion_ += 1 + world_.random.below(3);
  putConfiguration(createConfiguration(lastVersion_, budgets_), lastVersion_, kMaxAttempts);
}

void Operators::putInvalidConfiguration()
{
  auto raisedBudgets = budgets_;
  for (auto& [name, prepaid] : raisedBudgets) {
    prepaid += 10'000'000;
  }
  const auto bytes =
    ConfigurationText::createInvalid(lastVersion_ + 1, world_.random.below(4), raisedBudgets);
  world_.tally.addForbiddenConfiguration(bytes);
  putConfiguration(bytes, 0, 1);
}

void Operators::putConflictingConfiguration()
{
  // Only an acknowledged version is certain to be used already.
  const auto version = world_.tally.newestAcknowledgedVersion();
  if (version == 0) {
    return;
  }
  auto raisedBudgets = budgets_;
  for (auto& [name, prepaid] : raisedBudgets) {
    prepaid += 10'000'000;
  }
  const auto bytes = ConfigurationText::createValid(version, ++lastVariant_, raisedBudgets);
  world_.tally.addForbiddenConfiguration(bytes);
  putConfiguration(bytes, version, 2);
}

void Operators::putConfiguration(const std::string& bytes, std::uint64_t version, int attemptsLeft)
{
  const ProcessId operatorId(kOperatorId);
  const auto controlId = randomControl();
  const auto isCompleted = std::make_shared<bool>(false);
  ++sentCount_;
  world_.network.traceCall(operatorId, controlId, fmt::format("put version={}", version));
  world_.network.call(
    operatorId, controlId, [this, operatorId, controlId, bytes, version, isCompleted] {
      const auto controlIt = world_.controls.find(controlId);
      if (controlIt == world_.controls.end()) {
        return;
      }
      controlIt->second->putConfiguration(
        bytes, [this, operatorId, controlId, version, isCompleted](const Expected<void>& result) {
          const bool isAccepted = result.has_value();
          const bool isInvalid = !isAccepted && result.error().kind == ErrorKind::documentInvalid;
          world_.network.call(
            controlId, operatorId, [this, version, isCompleted, isAccepted, isInvalid] {
              if (isAccepted && version > 0) {
                *isCompleted = true;
                world_.tally.recordAcknowledgement(version);
              }
              if (isInvalid) {
                *isCompleted = true;
                ++refusedCount_;
                require(version == 0, "operator: a valid configuration was refused as invalid");
              }
            });
        });
    });
  if (attemptsLeft > 1) {
    world_.schedule.callAfter(kResendDelay, [this, bytes, version, attemptsLeft, isCompleted] {
      if (!*isCompleted) {
        putConfiguration(bytes, version, attemptsLeft - 1);
      }
    });
  }
}

void Operators::readConfiguration()
{
  const ProcessId operatorId(kOperatorId);
  const auto controlId = randomControl();
  const auto minVersion = world_.tally.minReadVersion();
  world_.network.call(operatorId, controlId, [this, operatorId, controlId, minVersion] {
    const auto controlIt = world_.controls.find(controlId);
    if (controlIt == world_.controls.end()) {
      return;
    }
    controlIt->second->readConfiguration(
      [this, operatorId, controlId, minVersion](const Expected<std::string>& result) {
        if (!result) {
          return;
        }
        world_.network.call(controlId, operatorId, [this, minVersion, bytes = *result] {
          const auto parsed = world_.dialect->parseConfiguration(bytes);
          world_.tally.checkRead(minVersion, parsed ? parsed->version : 0, bytes);
        });
      });
  });
}

} // namespace figchute::simulation
