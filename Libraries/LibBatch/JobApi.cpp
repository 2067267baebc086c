#include "LibBatch/JobApi.h"

#include "LibBatch/ChunkCodec.h"
#include "LibBatch/FileCodec.h"
#include "LibBatch/InputUpload.h"
#include "LibBatch/JobCancel.h"
#include "LibBatch/JobCodec.h"
#include "LibBatch/JobJson.h"
#include "LibBatch/JobRefusals.h"
#include "LibBatch/JobRequest.h"
#include "LibBatch/JobSubmission.h"
#include "LibBatch/ResultStreamer.h"
#include "LibPlatform/PagedList.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace Anvilyard::Batch {

namespace json = boost::json;

namespace {

using Writer = std::shared_ptr<Http::ResponseWriter>;

constexpr std::string_view FilesPath = "/v1/files";
constexpr std::string_view BatchesPath = "/v1/batches";
constexpr std::chrono::minutes MinFileLifetime{10};
constexpr std::size_t MaxListedJobs = 100;
constexpr std::size_t DefaultListedJobs = 20;

void respond(Writer const &writer, json::object const &object)
{
    writer->respond({.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = json::serialize(object)});
}

void refuse(Writer const &writer, Http::Refusal const &refusal)
{
    writer->respond(Http::toResponse(refusal));
}

/// The id and the optional operation that follow a base path such as "/v1/files".
struct ResourcePath {
    std::string id;
    std::string operation;
};

ResourcePath parseResource(std::string_view path, std::string_view base)
{
    auto rest = path.substr(base.size());
    if (rest.starts_with('/'))
        rest.remove_prefix(1);
    auto const slash = rest.find('/');
    if (slash == std::string_view::npos)
        return {.id = std::string(rest)};
    return {.id = std::string(rest.substr(0, slash)), .operation = std::string(rest.substr(slash + 1))};
}

/// Returns whether the id has only characters that are allowed in object names.
bool isValidId(std::string_view id)
{
    return !id.empty() && id.size() <= 200 && id.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
}

class JobApiServer final : public JobApi
{
public:
    explicit JobApiServer(JobApiOptions options)
        : options_(std::move(options))
        , store_(
              std::make_shared<StoreCaller>(StoreCallerOptions{.loop = options_.loop, .store = options_.store, .random = seedFromSystem()}))
        , accepted_(options_.metrics.counter("anvilyard_batch_accepted_items_total", "Items of accepted jobs."))
        , refused_(options_.metrics.counter("anvilyard_batch_refused_submissions_total", "Files and jobs that were not accepted."))
    {
    }

    void handle(CustomerId customer, Http::HttpRequest request, Writer writer) override;
    std::optional<Http::BodySink> streamBody(CustomerId customer, Http::HttpRequest const &head, Writer const &writer) override;

private:
    std::shared_ptr<InputUpload> startUpload(CustomerId const &customer, Http::HttpRequest const &head, Writer const &writer);
    void handleFiles(CustomerId const &customer, Http::HttpRequest const &request, Writer const &writer);
    void showFile(CustomerId const &customer, FileId const &file, Writer const &writer);
    void sendFileContent(CustomerId const &customer, FileId const &file, Writer const &writer);
    void handleBatches(CustomerId const &customer, Http::HttpRequest const &request, Writer const &writer);
    void submit(CustomerId const &customer, Http::HttpRequest const &request, Writer const &writer);
    void submitInline(CustomerId const &customer, JobRequest request, Writer const &writer);
    void submitFile(CustomerId const &customer, JobRequest request, Writer const &writer);
    void accept(JobRequest const &request, FileRecord const &file, Writer const &writer);
    void cancel(CustomerId const &customer, JobId const &job, Writer const &writer);
    void listJobs(CustomerId const &customer, Http::HttpRequest const &request, Writer const &writer);
    void listAllJobs(CustomerId const &customer, std::function<void(Result<std::vector<JobRecord>>)> done);
    /// Lists all objects of a kind whose names have the prefix.
    void listAll(Platform::Kind const &kind, std::string prefix, Platform::PageHandler onPage, Platform::Reply<std::monostate> done);
    void withJob(CustomerId const &customer, JobId const &job, Writer const &writer, std::function<void(JobRecord)> use);
    void withFile(CustomerId const &customer, FileId const &file, Writer const &writer, std::function<void(FileRecord)> use);
    /// Counts the outcomes of a finished job from its record and those of an open job from its chunks.
    void countOutcomes(JobRecord const &job, std::function<void(Result<OutcomeCounts>)> done);
    void countChunks(JobId const &job, std::function<void(Result<OutcomeCounts>)> done);
    void showJob(JobRecord const &job, Writer const &writer);
    UploadId makeUploadId();

    JobApiOptions options_;
    std::shared_ptr<StoreCaller> store_;
    Observe::Counter &accepted_;
    Observe::Counter &refused_;
};

void JobApiServer::handle(CustomerId customer, Http::HttpRequest request, Writer writer)
{
    if (request.path().starts_with(FilesPath))
        handleFiles(customer, request, writer);
    else
        handleBatches(customer, request, writer);
}

std::optional<Http::BodySink> JobApiServer::streamBody(CustomerId customer, Http::HttpRequest const &head, Writer const &writer)
{
    if (head.method != "POST" || head.path() != FilesPath)
        return std::nullopt;
    auto const upload = startUpload(customer, head, writer);
    return Http::BodySink{
        .onPiece = [upload](std::string_view piece, std::function<void()> next) { upload->feed(piece, std::move(next)); },
        .onEnd = [upload] { upload->finish(); },
        .onError = [upload](Error const &) { upload->abandon(); },
    };
}

UploadId JobApiServer::makeUploadId()
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string id = "upload-";
    std::uniform_int_distribution<std::size_t> distribution(0, Digits.size() - 1);
    for (int digit = 0; digit < 32; ++digit)
        id += Digits[distribution(store_->random())];
    return UploadId(std::move(id));
}

std::shared_ptr<InputUpload> JobApiServer::startUpload(CustomerId const &customer, Http::HttpRequest const &head, Writer const &writer)
{
    auto const now = readClocks().wall;
    auto const upload = makeUploadId();
    auto const key = head.headers.find("Idempotency-Key");
    auto const fileKey = key ? "key:" + std::string(*key) : "upload:" + upload.value();
    return std::make_shared<InputUpload>(InputUploadOptions{
        .store = store_,
        .customer = customer,
        .file = fileIdFor(customer, fileKey),
        .upload = upload,
        .filename = head.query("filename").value_or("input.jsonl"),
        .multipartBoundary = MultipartReader::boundaryOf(head.headers.find("Content-Type").value_or("")),
        .created = now,
        .keepUntil = now + jobDefaultsFor(*options_.rules(), customer).keep,
        .done =
            [this, writer](tl::expected<FileRecord, Http::Refusal> const &result) {
                if (result) {
                    respond(writer, fileToJson(*result));
                    return;
                }
                refused_.add();
                refuse(writer, result.error());
            },
    });
}

void JobApiServer::handleFiles(CustomerId const &customer, Http::HttpRequest const &request, Writer const &writer)
{
    auto const [id, operation] = parseResource(request.path(), FilesPath);
    if (request.method == "POST" && id.empty()) {
        auto const upload = startUpload(customer, request, writer);
        upload->feed(request.body, [upload] { upload->finish(); });
    } else if (request.method == "GET" && isValidId(id) && operation.empty()) {
        showFile(customer, FileId(id), writer);
    } else if (request.method == "GET" && isValidId(id) && operation == "content") {
        sendFileContent(customer, FileId(id), writer);
    } else {
        refuse(writer, notFound("There is no such operation on files."));
    }
}

void JobApiServer::showFile(CustomerId const &customer, FileId const &file, Writer const &writer)
{
    if (auto const result = parseResultFileId(file)) {
        withJob(customer, result->job, writer, [writer, kind = result->kind](JobRecord const &job) {
            respond(writer, resultFileToJson(job, kind));
        });
        return;
    }
    withFile(customer, file, writer, [writer](FileRecord const &record) { respond(writer, fileToJson(record)); });
}

void JobApiServer::sendFileContent(CustomerId const &customer, FileId const &file, Writer const &writer)
{
    auto const result = parseResultFileId(file);
    if (!result) {
        refuse(writer, notFound("Only output and error files of batches can be read."));
        return;
    }
    withJob(customer, result->job, writer, [store = store_, result = *result, writer](JobRecord const &) {
        std::make_shared<ResultStreamer>(store, result, writer)->start();
    });
}

void JobApiServer::handleBatches(CustomerId const &customer, Http::HttpRequest const &request, Writer const &writer)
{
    auto const [id, operation] = parseResource(request.path(), BatchesPath);
    if (request.method == "POST" && id.empty())
        submit(customer, request, writer);
    else if (request.method == "GET" && id.empty())
        listJobs(customer, request, writer);
    else if (request.method == "GET" && isValidId(id) && operation.empty())
        withJob(customer, JobId(id), writer, [this, writer](JobRecord const &job) { showJob(job, writer); });
    else if (request.method == "POST" && isValidId(id) && operation == "cancel")
        cancel(customer, JobId(id), writer);
    else
        refuse(writer, notFound("There is no such operation on batches."));
}

void JobApiServer::submit(CustomerId const &customer, Http::HttpRequest const &request, Writer const &writer)
{
    auto parsed = parseJobRequest(request);
    if (!parsed) {
        refused_.add();
        refuse(writer, badRequest("invalid_batch", "Nothing was accepted; " + parsed.error() + "."));
    } else if (!parsed->inputFile.empty()) {
        submitFile(customer, std::move(*parsed), writer);
    } else {
        submitInline(customer, std::move(*parsed), writer);
    }
}

void JobApiServer::submitInline(CustomerId const &customer, JobRequest request, Writer const &writer)
{
    auto const now = readClocks().wall;
    auto const uploadId = makeUploadId();
    auto const key = request.idempotencyKey.empty() ? uploadId.value() : request.idempotencyKey;
    std::string lines;
    for (auto const &line : request.lines)
        lines += line + "\n";
    auto const upload = std::make_shared<InputUpload>(InputUploadOptions{
        .store = store_,
        .customer = customer,
        .file = fileIdFor(customer, "inline:" + key),
        .upload = uploadId,
        .filename = "requests.jsonl",
        .created = now,
        .keepUntil = now + jobDefaultsFor(*options_.rules(), customer).keep,
        .done =
            [this, request, writer](tl::expected<FileRecord, Http::Refusal> const &file) {
                if (file)
                    accept(request, *file, writer);
                else
                    refuse(writer, file.error());
            },
    });
    upload->feed(lines, [upload] { upload->finish(); });
}

void JobApiServer::submitFile(CustomerId const &customer, JobRequest request, Writer const &writer)
{
    FileId const file(request.inputFile);
    if (!isValidId(file.value())) {
        refuse(writer, notFound("There is no such file."));
        return;
    }
    withFile(customer, file, writer, [this, request = std::move(request), writer](FileRecord const &record) {
        accept(request, record, writer);
    });
}

void JobApiServer::accept(JobRequest const &request, FileRecord const &file, Writer const &writer)
{
    auto const rules = options_.rules();
    auto const now = readClocks().wall;
    // An input that may be removed before the job is stored is treated as missing.
    if (file.keepUntil < now + MinFileLifetime) {
        refuse(writer, notFound("The file is kept no longer."));
        return;
    }
    if (!request.endpoint.empty() && request.endpoint != file.endpoint) {
        refused_.add();
        refuse(writer, badRequest("endpoint_mismatch", "The file's lines are for " + file.endpoint + "."));
        return;
    }
    if (auto const service = firstUnroutedService(*rules, file.services)) {
        refused_.add();
        refuse(writer, badRequest("model_not_found", "No rule serves the model or service \"" + service->value() + "\"."));
        return;
    }
    auto job = makeJobRecord(request, file, jobDefaultsFor(*rules, file.customer), now);
    auto done = [this, writer](tl::expected<JobRecord, Http::Refusal> const &result) {
        if (!result) {
            refused_.add();
            refuse(writer, result.error());
            return;
        }
        accepted_.add(result->items);
        options_.onJobsChanged();
        showJob(*result, writer);
    };
    std::make_shared<JobSubmission>(JobSubmissionOptions{.store = store_, .job = std::move(job), .done = std::move(done)})->start();
}

void JobApiServer::cancel(CustomerId const &customer, JobId const &job, Writer const &writer)
{
    auto done = [this, writer](tl::expected<JobRecord, Http::Refusal> const &result) {
        if (!result) {
            refuse(writer, result.error());
            return;
        }
        options_.onJobsChanged();
        showJob(*result, writer);
    };
    std::make_shared<JobCancel>(
        JobCancelOptions{.store = store_, .customer = customer, .job = job, .now = readClocks().wall, .done = std::move(done)})
        ->start();
}

void JobApiServer::withJob(CustomerId const &customer, JobId const &job, Writer const &writer, std::function<void(JobRecord)> use)
{
    store_->get(
        Kinds::jobs, Platform::ObjectName(job.value()), [customer, writer, use = std::move(use)](Result<Platform::Object> const &result) {
            if (!result && result.error().code != Platform::PlatformError::NotFound) {
                refuse(writer, storeUnavailable("The batch cannot be read now."));
                return;
            }
            auto record = result ? JobCodec::decode(result->spec) : tl::unexpected(result.error());
            if (record && record->customer == customer)
                use(std::move(*record));
            else
                refuse(writer, notFound("There is no such batch."));
        });
}

void JobApiServer::withFile(CustomerId const &customer, FileId const &file, Writer const &writer, std::function<void(FileRecord)> use)
{
    store_->get(
        Kinds::files, Platform::ObjectName(file.value()), [customer, writer, use = std::move(use)](Result<Platform::Object> const &result) {
            if (!result && result.error().code != Platform::PlatformError::NotFound) {
                refuse(writer, storeUnavailable("The file cannot be read now."));
                return;
            }
            auto record = result ? FileCodec::decode(result->spec) : tl::unexpected(result.error());
            if (record && record->customer == customer)
                use(std::move(*record));
            else
                refuse(writer, notFound("There is no such file."));
        });
}

void JobApiServer::showJob(JobRecord const &job, Writer const &writer)
{
    countOutcomes(job, [job, writer](Result<OutcomeCounts> const &counts) {
        if (counts)
            respond(writer, jobToJson(job, *counts));
        else
            refuse(writer, storeUnavailable("The batch cannot be read now."));
    });
}

void JobApiServer::countOutcomes(JobRecord const &job, std::function<void(Result<OutcomeCounts>)> done)
{
    if (job.status != JobStatus::Open)
        done(job.counts);
    else
        countChunks(job.id, std::move(done));
}

void JobApiServer::listAll(Platform::Kind const &kind,
                           std::string prefix,
                           Platform::PageHandler onPage,
                           Platform::Reply<std::monostate> done)
{
    Platform::listAllPages(
        [this, kind](Platform::ListOptions options, Platform::Reply<Platform::ObjectList> reply) {
            store_->list(kind, std::move(options), std::move(reply));
        },
        {.namePrefix = std::move(prefix)},
        std::move(onPage),
        std::move(done));
}

void JobApiServer::countChunks(JobId const &job, std::function<void(Result<OutcomeCounts>)> done)
{
    auto const counts = std::make_shared<OutcomeCounts>();
    listAll(
        Kinds::chunks,
        chunkPrefix(job),
        [counts](std::vector<Platform::Object> const &objects) {
            for (auto const &object : objects) {
                if (auto const chunk = ChunkCodec::decode(object.spec))
                    addOutcomes(*counts, chunk->outcomes);
            }
        },
        [counts, done = std::move(done)](Result<std::monostate> const &listed) {
            done(listed ? Result<OutcomeCounts>(*counts) : tl::unexpected(listed.error()));
        });
}

void JobApiServer::listJobs(CustomerId const &customer, Http::HttpRequest const &request, Writer const &writer)
{
    std::size_t limit = DefaultListedJobs;
    if (auto const text = request.query("limit"))
        std::from_chars(text->data(), text->data() + text->size(), limit);
    limit = std::clamp<std::size_t>(limit, 1, MaxListedJobs);
    auto const after = request.query("after").value_or("");
    listAllJobs(customer, [writer, limit, after](Result<std::vector<JobRecord>> jobs) {
        if (!jobs) {
            refuse(writer, storeUnavailable("The batches cannot be read now."));
            return;
        }
        std::sort(jobs->begin(), jobs->end(), [](auto const &left, auto const &right) {
            return std::tie(right.created, right.id) < std::tie(left.created, left.id);
        });
        auto first = jobs->begin();
        if (!after.empty())
            first = std::find_if(jobs->begin(), jobs->end(), [&](auto const &job) { return job.id.value() == after; });
        if (!after.empty() && first != jobs->end())
            ++first;
        json::array data;
        for (; first != jobs->end() && data.size() < limit; ++first)
            data.emplace_back(jobToJson(*first, first->counts));
        auto const hasMore = first != jobs->end();
        respond(writer, {{"object", "list"}, {"data", std::move(data)}, {"has_more", hasMore}});
    });
}

void JobApiServer::listAllJobs(CustomerId const &customer, std::function<void(Result<std::vector<JobRecord>>)> done)
{
    auto const jobs = std::make_shared<std::vector<JobRecord>>();
    listAll(
        Kinds::jobs,
        customerJobPrefix(customer),
        [customer, jobs](std::vector<Platform::Object> const &objects) {
            for (auto const &object : objects) {
                if (auto job = JobCodec::decode(object.spec); job && job->customer == customer)
                    jobs->push_back(std::move(*job));
            }
        },
        [jobs, done = std::move(done)](Result<std::monostate> const &listed) {
            done(listed ? Result<std::vector<JobRecord>>(std::move(*jobs)) : tl::unexpected(listed.error()));
        });
}

} // namespace

std::unique_ptr<JobApi> JobApi::create(JobApiOptions options)
{
    return std::make_unique<JobApiServer>(std::move(options));
}

bool JobApi::handles(std::string_view path)
{
    auto const isUnder = [path](std::string_view base) { return path == base || path.starts_with(std::string(base) + "/"); };
    return isUnder(FilesPath) || isUnder(BatchesPath);
}

} // namespace Anvilyard::Batch
