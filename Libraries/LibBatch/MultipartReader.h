#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Anvilyard::Batch {

/// Parses a multipart/form-data body that arrives in pieces. Passes the part named "file" to a callback and buffers small fields.
class MultipartReader
{
public:
    enum class State {
        /// The body is incomplete.
        Reading,
        /// The closing boundary was received.
        Complete,
        Malformed,
    };

    /// Returns the boundary of a Content-Type such as `multipart/form-data; boundary=abc`, or `std::nullopt` for other types.
    static std::optional<std::string> boundaryOf(std::string_view contentType);

    explicit MultipartReader(std::string_view boundary);

    State feed(std::string_view piece, std::function<void(std::string_view)> const &onFile);
    [[nodiscard]] std::string const &filename() const;
    [[nodiscard]] std::string const &purpose() const;
    [[nodiscard]] bool hasFile() const;

private:
    enum class Stage {
        BeforeDelimiter,
        AfterDelimiter,
        Headers,
        Body,
        End,
        Malformed,
    };

    bool step(std::function<void(std::string_view)> const &onFile);
    bool readAfterDelimiter();
    bool readHeaders();
    bool readBody(std::function<void(std::string_view)> const &onFile);
    void emitBody(std::string_view text, std::function<void(std::string_view)> const &onFile);

    static constexpr std::size_t HeadersLimitBytes = 8 * 1024;
    static constexpr std::size_t FieldLimitBytes = 4 * 1024;

    std::string delimiter_;
    std::string buffer_;
    Stage stage_ = Stage::BeforeDelimiter;
    std::string partName_;
    std::string filename_;
    std::string purpose_;
    bool hasFile_ = false;
};

} // namespace Anvilyard::Batch
