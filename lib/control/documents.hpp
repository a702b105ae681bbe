/// The process's documents, shared between its threads.

#ifndef GUAVASTAIR_LIB_CONTROL_DOCUMENTS_HPP
#define GUAVASTAIR_LIB_CONTROL_DOCUMENTS_HPP

#include <guavastair/config.hpp>

#include <mutex>
#include <utility>

namespace guavastair::control {

/// A config::document_set protected by a mutex.
class documents {
public:
    config::apply_result apply(const config::change_set& changes) {
        const std::lock_guard lock(this->mutex);
        return this->set.apply(changes);
    }

    config::change_set changes_since(support::revision from) const {
        const std::lock_guard lock(this->mutex);
        return this->set.changes_since(from);
    }

    support::revision complete_up_to() const {
        const std::lock_guard lock(this->mutex);
        return this->set.complete_up_to();
    }

    /// Calls `read` with the set, under the lock.
    template <typename Read> void with(Read read) const {
        const std::lock_guard lock(this->mutex);
        read(this->set);
    }

private:
    mutable std::mutex mutex;
    config::document_set set;
};

} // namespace guavastair::control

#endif
