#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace Anvilyard::Batch {

/// SHA-256 of text that arrives in pieces.
class Sha256
{
public:
    Sha256();
    ~Sha256();
    void add(std::string_view text);
    /// Returns the digest in lower-case hex. May be called once.
    std::string finish();

private:
    struct Context;
    std::unique_ptr<Context> context_;
};

/// Returns the SHA-256 of a text in lower-case hex.
std::string sha256Hex(std::string_view text);

} // namespace Anvilyard::Batch
