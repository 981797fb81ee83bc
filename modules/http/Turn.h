#pragma once

#include <boost/asio/execution_context.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <vector>

namespace figchute::http::detail {

/** Something with output that is written at the end of an event handler. */
class Flushable
{
public:
  virtual ~Flushable() = default;

  /** Writes what is pending. */
  virtual void flush() = 0;
};

/** Collects the connections that got output while one event is handled and flushes each of them
   once at its end, so that all parts written meanwhile share a system call. There is one per
   io_context; the server and the client pool share it. Thread safety: use it on the thread of its
   io_context only. */
class Turn : public boost::asio::execution_context::service
{
public:
  using key_type = Turn;
  static inline boost::asio::execution_context::id id;

  explicit Turn(boost::asio::execution_context& context);

  /** Returns the turn of an io_context. */
  static Turn& of(boost::asio::io_context& io);

  /** Has @p flushable flushed at the end of the current event, or by a posted one when the caller
     is not in a Scope. */
  void add(std::shared_ptr<Flushable> flushable);

  /** Marks the handling of one event. */
  class Scope
  {
  public:
    explicit Scope(Turn& turn);
    ~Scope();

    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    Turn& turn_;
  };

private:
  void shutdown() override;
  void flushAll();
  void post();

  boost::asio::io_context& io_;
  std::vector<std::shared_ptr<Flushable>> waiting_;
  std::size_t depth_ = 0;
  bool posted_ = false;
};

} // namespace figchute::http::detail
