#pragma once

#include "LibBatch/JobNames.h"
#include "LibBatch/StoreCaller.h"
#include "LibHttp/HttpServer.h"
#include "LibPlatform/PagedList.h"

#include <deque>
#include <memory>
#include <vector>

namespace Anvilyard::Batch {

/// Writes a job's output or error file as JSON Lines in input order, with one chunk in memory at a time. Unfinished items are
/// omitted, so a file can be read while the job runs.
class ResultStreamer : public std::enable_shared_from_this<ResultStreamer>
{
public:
    ResultStreamer(std::shared_ptr<StoreCaller> store, ResultFileRef file, std::shared_ptr<Http::ResponseWriter> writer);

    void start();

private:
    void listChunks(std::string continueToken);
    void nextChunk();
    void nextPart();
    void writeChunk();
    void fail();

    std::shared_ptr<StoreCaller> store_;
    ResultFileRef file_;
    std::shared_ptr<Http::ResponseWriter> writer_;
    /// Names of the result parts of each chunk of the current page.
    std::deque<std::vector<std::string>> chunks_;
    std::string continueToken_;
    Platform::ListProgress listProgress_;
    std::vector<std::string> parts_;
    std::vector<ResultLine> lines_;
    bool started_ = false;
};

} // namespace Anvilyard::Batch
