#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace Anvilyard::Http {

/// Body of a request while it is read. A single string would copy the body each time that it grows, and leave holes in the heap that a
/// crowd of callers multiplies. Segments are as large as what arrived before them, up to a limit, and are joined once the body is complete.
class BodySegments
{
public:
    /// Returns room for further bytes, which is never empty. It is valid until the next call of another function.
    [[nodiscard]] std::span<char> prepare();
    /// Adds bytes that were written to the room.
    void commit(std::size_t bytes);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t capacity() const;
    void clear();
    /// Removes the content and returns it.
    [[nodiscard]] std::string take();

private:
    std::vector<std::string> segments_;
    /// Bytes used of the last segment.
    std::size_t lastUsed_ = 0;
    std::size_t size_ = 0;
    std::size_t capacity_ = 0;
};

} // namespace Anvilyard::Http
