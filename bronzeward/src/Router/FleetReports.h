#pragma once

#include "bronzeward/Budget"
#include "bronzeward/Request"
#include "bronzeward/src/Router/RouterStatus.h"

namespace bronzeward {

/// \addtogroup Router
/// @{

/// \brief Logs how often the store was called since the start.
void logStoreCalls(const StoreCounters &Counters, DecisionLog &Log);
/// \brief Logs how many configurations were exchanged with peers.
void logConfigurationTexts(const ConfigurationTextCounters &Texts,
                           DecisionLog &Log);
/// \brief Logs an instance's grants, loans and commits.
void logBudgets(const BudgetAgent &Budgets, DecisionLog &Log, TimePoint Now);

/// @}

} // namespace bronzeward
