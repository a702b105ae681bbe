/// A simulated fleet: membership groups that exchange messages over simulated
/// links, on a manual clock.

#ifndef GUAVASTAIR_UNITTESTS_MEMBERSHIP_FLEET_HPP
#define GUAVASTAIR_UNITTESTS_MEMBERSHIP_FLEET_HPP

#include <guavastair/membership.hpp>
#include <guavastair/wire.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace guavastair::membership {

/// The faults and delays of all links.
struct link_options {
    /// Probabilities for each message, from 0 to 1.
    double loss = 0;
    double duplication = 0;
    /// The delay is uniform between these bounds.
    support::duration min_delay = support::milliseconds(1);
    support::duration max_delay = support::milliseconds(8);
};

/// One simulated process.
struct process {
    std::unique_ptr<group> member;
    /// The record at its start.
    node_record initial;
    bool is_dead = false;
    /// Until then the process neither ticks nor handles messages.
    support::instant paused_until;
    /// Messages in the socket of a paused process, with their senders.
    std::vector<std::pair<support::endpoint, message>> received_while_paused;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t sent_messages = 0;
    /// Elapsed time in the group and, with use_codecs, in the codecs.
    std::chrono::nanoseconds elapsed_time{};
    std::unique_ptr<wire::sealer> message_sealer;
    std::unique_ptr<wire::opener> message_opener;
};

/// Processes in data centres "dc-0", "dc-1" and so on, assigned round-robin.
/// Processes with odd indexes are agents, the others balancers.
class fleet {
public:
    fleet(std::size_t size, std::size_t data_centres, std::uint64_t seed,
          options settings = {});

    /// Advances the clock by `span`, 1 ms at a time.
    void run(support::duration span);

    process& at(std::size_t index);
    std::size_t size() const;

    /// Stops a process without notice to the others.
    void kill(std::size_t index);
    void pause(std::size_t index, support::duration span);
    /// Replaces a process by a new one with a new id and the same name and
    /// addresses.
    void replace(std::size_t index);
    /// Delivers the records of all processes to each, so that the fleet starts
    /// converged.
    void introduce_all();

    /// Adds a process and returns its index. It joins through the seeds.
    std::size_t add(std::size_t data_centre);

    /// Cuts every link between two data centres, or restores them.
    void cut(std::size_t left, std::size_t right, bool is_cut = true);
    /// Cuts all links of one process, or restores them.
    void isolate(std::size_t index, bool is_cut = true);

    /// Whether every live process holds exactly the live ones as present, each
    /// with its current record.
    bool converged() const;

    /// Runs until converged() or for `limit`. Returns the simulated time.
    support::duration run_until_converged(support::duration limit);

    /// Number of other live processes that hold `index` as ready for new work.
    std::size_t count_observing_ready(std::size_t index) const;

    support::instant now;
    /// Largest size_bound() of any message sent.
    std::size_t largest_message = 0;
    link_options link;
    /// Counts the bytes of each datagram as encoded and sealed.
    bool count_bytes = false;
    /// Encodes, seals, opens and decodes each message, and measures the time.
    bool use_codecs = false;

private:
    struct datagram {
        support::instant due;
        std::uint64_t serial = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        message body;
        wire::bytes sealed;

        bool operator>(const datagram& other) const {
            return std::pair(this->due, this->serial) >
                   std::pair(other.due, other.serial);
        }
    };

    node_record make_record(std::size_t index, std::size_t data_centre);
    void start(std::size_t index);
    void deliver_due();
    void deliver(const datagram& item);
    void carry_out(std::size_t from, const std::vector<action>& actions);
    void transmit(std::size_t from, const send_message& sent);
    void encode_message(std::size_t from, const send_message& sent,
                        datagram& encoded);
    bool decode_message(process& receiver, const datagram& encoded,
                        message& body);
    bool is_cut(std::size_t from, std::size_t to) const;
    bool has_current_record(const process& observer,
                            const process& observed) const;

    options settings;
    std::mt19937_64 random;
    std::vector<process> processes;
    std::map<support::endpoint, std::size_t> addresses;
    std::priority_queue<datagram, std::vector<datagram>, std::greater<>> queue;
    std::uint64_t next_serial = 0;
    std::set<std::pair<support::data_centre_name, support::data_centre_name>>
        cut_links;
    std::set<std::size_t> isolated_processes;
};

} // namespace guavastair::membership

#endif
