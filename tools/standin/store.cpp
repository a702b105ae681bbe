#include "store_server.hpp"
#include "subcommands.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, store_address, "127.0.0.1",
          "store: address to listen on");
ABSL_FLAG(std::uint16_t, store_port, 0,
          "store: port to listen on; 0 lets the system choose");

namespace guavastair::standin {

int run_store(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    const store_server server(absl::GetFlag(FLAGS_store_address),
                              absl::GetFlag(FLAGS_store_port));
    std::cout << "port " << server.port() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace guavastair::standin
