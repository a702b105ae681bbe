#include "role_process.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

namespace bench {

namespace support = guavastair::support;

role_process::role_process(
    const std::function<void(const ready_callback&)>& role) {
    std::array<int, 2> ends{};
    if (pipe(ends.data()) != 0) {
        std::abort();
    }
    this->child = fork();
    if (this->child == 0) {
        std::signal(SIGPIPE, SIG_IGN);
        role([&](support::endpoint address) {
            if (write(ends[1], &address, sizeof address) !=
                static_cast<ssize_t>(sizeof address)) {
                _exit(1);
            }
        });
        _exit(0);
    }
    close(ends[1]);
    if (read(ends[0], &this->listen_address, sizeof this->listen_address) !=
        static_cast<ssize_t>(sizeof this->listen_address)) {
        std::cerr << "role process exited before it reported its address\n";
        std::exit(1);
    }
    close(ends[0]);
}

role_process::~role_process() {
    kill(this->child, SIGKILL);
    waitpid(this->child, nullptr, 0);
}

double role_process::cpu_us() const {
    std::ifstream in("/proc/" + std::to_string(this->child) + "/schedstat");
    double run_ns = 0;
    in >> run_ns;
    constexpr double ns_per_us = 1000;
    return run_ns / ns_per_us;
}

double role_process::anonymous_kb() const {
    std::ifstream in("/proc/" + std::to_string(this->child) + "/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with("RssAnon:")) {
            return std::stod(line.substr(line.find(':') + 1));
        }
    }
    return 0;
}

} // namespace bench
