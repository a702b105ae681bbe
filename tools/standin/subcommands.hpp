/// The entry points of the stand-ins. Each receives its own name as argv[0],
/// prints the addresses that it listens on, and returns after SIGTERM or
/// SIGINT. The caller listens on none and also returns when its run has ended.

#ifndef GUAVASTAIR_TOOLS_STANDIN_SUBCOMMANDS_HPP
#define GUAVASTAIR_TOOLS_STANDIN_SUBCOMMANDS_HPP

namespace guavastair::standin {

int run_caller(int argc, char** argv);
int run_fabric(int argc, char** argv);
int run_server(int argc, char** argv);
int run_store(int argc, char** argv);

} // namespace guavastair::standin

#endif
