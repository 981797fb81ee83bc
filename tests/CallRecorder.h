#pragma once

#include "http/ClientPool.h"

#include <functional>
#include <optional>
#include <string>

namespace figchute::http {

/** Records the events of a call and runs optional callbacks on them. */
struct Recorder final : CallListener
{
  void onConnected() override { connected = true; }
  void onSent() override { sent = true; }
  void onHead(const ResponseHead& received) override
  {
    head = received;
    if (onHeadCallback)
      onHeadCallback();
  }
  void onBody(std::string_view bytes) override
  {
    body.append(bytes);
    if (onBodyCallback)
      onBodyCallback();
  }
  void onComplete(const ResponseEnd& /*end*/) override
  {
    ++completed;
    if (onEndCallback)
      onEndCallback();
  }
  void onFailure(const CallFailure& result) override
  {
    ++failures;
    failure = result;
    if (onEndCallback)
      onEndCallback();
  }

  [[nodiscard]] bool mayRefuseConnections() const override { return mayRefuse; }

  [[nodiscard]] bool ended() const { return completed + failures > 0; }

  bool mayRefuse = true;
  bool connected = false;
  bool sent = false;
  std::optional<ResponseHead> head;
  std::string body;
  int completed = 0;
  int failures = 0;
  CallFailure failure;
  std::function<void()> onHeadCallback;
  std::function<void()> onBodyCallback;
  std::function<void()> onEndCallback;
};

} // namespace figchute::http
