#pragma once

#include <future>
#include <vector>

namespace bilberryyard {

/// Calls a function for each item, with up to four calls running at a time.
/// @param function Must be safe to call from several threads at once.
/// @return The results in the order of the items.
template <typename Item, typename Function>
auto runInParallel(std::vector<Item> const& items, Function const& function)
{
    constexpr size_t maximumParallelRuns = 4;
    std::vector<std::future<decltype(function(items.front()))>> running;
    std::vector<decltype(function(items.front()))> results;
    for (auto const& item : items) {
        running.push_back(std::async(std::launch::async, [&function, &item] { return function(item); }));
        if (running.size() - results.size() >= maximumParallelRuns)
            results.push_back(running[results.size()].get());
    }
    while (results.size() < running.size())
        results.push_back(running[results.size()].get());
    return results;
}

} // namespace bilberryyard
