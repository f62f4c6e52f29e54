#pragma once

#include "bronzeward/schema/Ledger.capnp.h"
#include "bronzeward/src/Ledger/Operation.h"

#include <string>
#include <string_view>

namespace bronzeward {

/// \addtogroup Ledger
/// @{

/// \returns the canonical encoding of a bill, which the hash chain digests.
[[nodiscard]] std::string encodeBill(const Bill &Settled);

/// \returns the stored encoding of a head record.
[[nodiscard]] std::string encodeSlotRecord(const SlotRecord &Record);

/// \param Bytes stored encoding.
/// \param Key store key, for the error.
/// \returns the record, or an error if the bytes are not a valid encoding.
[[nodiscard]] Result<SlotRecord> decodeSlotRecord(std::string_view Bytes,
                                                  const std::string &Key);

[[nodiscard]] std::string encodeSegment(const Segment &Value);
[[nodiscard]] Result<Segment> decodeSegment(std::string_view Bytes,
                                            const std::string &Key);

[[nodiscard]] std::string encodeSegmentIndex(const SegmentIndex &Index);
[[nodiscard]] Result<SegmentIndex> decodeSegmentIndex(std::string_view Bytes,
                                                      const std::string &Key);

/// @}

namespace internal {

void write(schema::Incarnation::Builder Out, const Incarnation &In);
[[nodiscard]] Incarnation read(schema::Incarnation::Reader In);
void write(schema::Bill::Builder Out, const Bill &In);
[[nodiscard]] Bill read(schema::Bill::Reader In);
void write(schema::Operation::Builder Out, const Operation &In);
[[nodiscard]] Operation read(schema::Operation::Reader In);
void write(schema::OperationResult::Builder Out, const OperationResult &In);
[[nodiscard]] OperationResult read(schema::OperationResult::Reader In);

} // namespace internal
} // namespace bronzeward
