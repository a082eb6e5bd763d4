#pragma once

/// @file
/// Announces a backend server to the entry hosts of its data centre.

#include "libbergamotio/event_loop.h"

#include "announcement.pb.h"

#include <functional>
#include <string>
#include <vector>

namespace bergamotroute {

/// Sends the announcement to one entry host and goes on to the next one when that host does not accept it.
class Announcer {
public:
    /// @param hosts announce listeners, "address:port".
    /// @param make makes the current announcement.
    Announcer(EventLoop& loop, std::vector<std::string> hosts, std::function<schema::Announcement()> make);

    /// Announces now and then three times a lease.
    void announce();

    /// Withdraws the announcement and calls the handler after the answer.
    void withdraw(std::function<void()> handler);

private:
    void send(const schema::Announcement& announcement, std::function<void(bool accepted)> handler);
    void handleAnswer(bool accepted);

    EventLoop& m_loop;
    std::vector<std::string> m_hosts;
    std::size_t m_current = 0;
    std::function<schema::Announcement()> m_make;
    Timer m_timer;
};

}
