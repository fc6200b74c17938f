#pragma once

#include <future>
#include <vector>

namespace bilberryyard {

/// Runs a function on each item, a few at a time; replays share nothing.
/// @param items The items.
/// @param function The function.
/// @return Its results in the order of the items.
template <typename Item, typename Function>
auto resultsOf(std::vector<Item> const& items, Function const& function)
{
    constexpr size_t parallel = 4;
    std::vector<std::future<decltype(function(items.front()))>> running;
    std::vector<decltype(function(items.front()))> results;
    for (auto const& item : items) {
        running.push_back(std::async(std::launch::async, [&function, &item] { return function(item); }));
        if (running.size() - results.size() >= parallel)
            results.push_back(running[results.size()].get());
    }
    while (results.size() < running.size())
        results.push_back(running[results.size()].get());
    return results;
}

} // namespace bilberryyard
