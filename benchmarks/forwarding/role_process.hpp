/// Runs one role in a child process.

#ifndef GUAVASTAIR_BENCHMARKS_FORWARDING_ROLE_PROCESS_HPP
#define GUAVASTAIR_BENCHMARKS_FORWARDING_ROLE_PROCESS_HPP

#include <guavastair/support.hpp>

#include <sys/types.h>

#include <functional>

namespace bench {

/// A role in a child process, so that its processor time and memory can be
/// measured separately. The destructor kills the child.
class role_process {
public:
    /// Reports the role's listening address to the parent.
    using ready_callback =
        std::function<void(guavastair::support::endpoint address)>;

    /// Runs `role` in the child. It must call its argument once and not return.
    explicit role_process(
        const std::function<void(const ready_callback&)>& role);
    ~role_process();
    role_process(const role_process&) = delete;
    role_process& operator=(const role_process&) = delete;

    guavastair::support::endpoint address() const {
        return this->listen_address;
    }

    /// User and system time so far, in microseconds.
    double cpu_us() const;

    /// Anonymous resident memory in kB, which excludes mapped files.
    double anonymous_kb() const;

private:
    pid_t child = 0;
    guavastair::support::endpoint listen_address;
};

} // namespace bench

#endif
