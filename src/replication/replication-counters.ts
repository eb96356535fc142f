/** Counters of operators' writes; docs/OPERATIONS.md describes each one. */
export const REPLICATION_COUNTERS = {
  operationsExecuted: 'ferryspool_replication_operations_total',
  viewChanges: 'ferryspool_replication_view_changes_total',
  groupsFormed: 'ferryspool_replication_groups_formed_total',
  malformedStates: 'ferryspool_replication_malformed_states_total',
  writesAccepted: 'ferryspool_writes_accepted_total',
  writesConflicting: 'ferryspool_writes_conflicting_total',
  writesInvalid: 'ferryspool_writes_invalid_total',
  writesNotAccepted: 'ferryspool_writes_not_accepted_total',
  writesUnknown: 'ferryspool_writes_unknown_total',
} as const;
