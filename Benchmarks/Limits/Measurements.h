#pragma once

namespace Anvilyard {

/// Limits of anvilyard-entry, which are divided into shares.
void measureShares();
/// Limits of anvilyard-node, of which each entry admits the same fraction of its requests.
void measureFractions();

} // namespace Anvilyard
