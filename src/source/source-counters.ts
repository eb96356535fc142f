/** Names of the platform reader's counters. */
export const SOURCE_COUNTERS = {
  leasesWon: 'ferryspool_reader_leases_won_total',
  leasesLost: 'ferryspool_reader_leases_lost_total',
  leaseMessages: 'ferryspool_reader_lease_messages_total',
  leaseGrants: 'ferryspool_reader_lease_grants_total',
  reads: 'ferryspool_platform_reads_total',
  failedReads: 'ferryspool_platform_failed_reads_total',
} as const;
