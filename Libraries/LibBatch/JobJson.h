#pragma once

#include "LibBatch/JobNames.h"
#include "LibBatch/JobRecords.h"

#include <boost/json/object.hpp>

namespace Anvilyard::Batch {

/// Returns a file as an OpenAI file object.
boost::json::object fileToJson(FileRecord const &file);
/// Returns a job as an OpenAI batch object. For an open job, `counts` are the current counts.
boost::json::object jobToJson(JobRecord const &job, OutcomeCounts const &counts);
/// Returns the file object of a job's output or error file.
boost::json::object resultFileToJson(JobRecord const &job, ResultFile kind);

} // namespace Anvilyard::Batch
