#pragma once

#include <boost/asio/execution_context.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <vector>

namespace figchute::http::detail {

/** An object with buffered output that is written at the end of an event handler. */
class Flushable
{
public:
  virtual ~Flushable() = default;

  /** Writes the pending output. */
  virtual void flush() = 0;
};

/** Collects the connections that have new output while an event is handled and flushes them at the
    end of the event, so that all parts written during one event need a single system call. Each
    io_context has one instance, shared by the server and the client pool.
    Thread safety: use only on the thread of its io_context. */
class FlushScheduler : public boost::asio::execution_context::service
{
public:
  using key_type = FlushScheduler;
  static inline boost::asio::execution_context::id id;

  explicit FlushScheduler(boost::asio::execution_context& context);

  /** Returns the instance for an io_context. */
  static FlushScheduler& of(boost::asio::io_context& io);

  /** Schedules a flush at the end of the current event, or in a posted event if there is none. */
  void add(std::shared_ptr<Flushable> flushable);

  /** Marks the handling of one event. The end of the outermost scope flushes the output. */
  class Scope
  {
  public:
    explicit Scope(FlushScheduler& flushScheduler);
    ~Scope();

    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    FlushScheduler& flushScheduler_;
  };

private:
  void shutdown() override;
  void flushAll();
  void postFlush();

  boost::asio::io_context& io_;
  std::vector<std::shared_ptr<Flushable>> pending_;
  std::size_t scopeDepth_ = 0;
  bool posted_ = false;
};

} // namespace figchute::http::detail
