// A thread that runs timers. Private to the library.
#ifndef JAYTRACK_LIB_STANDIN_TIMERTHREAD_H
#define JAYTRACK_LIB_STANDIN_TIMERTHREAD_H

#include <asio.hpp>

#include <thread>

namespace jaytrack {

class TimerThread
{
public:
    TimerThread()
        : work(asio::make_work_guard(this->context))
    {
    }
    ~TimerThread() { this->stop(); }
    TimerThread(const TimerThread &) = delete;
    TimerThread &operator=(const TimerThread &) = delete;

    void start()
    {
        this->thread = std::thread([this] { this->context.run(); });
    }

    // Timers that have not expired by then never run.
    void stop()
    {
        this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

    asio::io_context context;

private:
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

} // namespace jaytrack

#endif
