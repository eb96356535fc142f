/** Options of a source reader. */
import type { CounterSink, RandomSource } from '../control/control-event.js';
import type { ElectorateView, PlatformDocumentSink } from '../control/control-ports.js';
import type { PeerAddress } from '../membership/peer-identity.js';
import type { LeaseTerms, ReaderShares } from './lease-terms.js';
import type { PollTerms } from './platform-poll.js';

export interface SourceReaderOptions {
  readonly documents: PlatformDocumentSink;
  readonly electorate: ElectorateView;
  readonly seeds: readonly PeerAddress[];
  readonly readerShares: ReaderShares;
  readonly lease: LeaseTerms;
  /** Absent on a node that does not read the platform and is only an elector. */
  readonly poll?: PollTerms | undefined;
  readonly random: RandomSource;
  readonly counters: CounterSink;
  /**
   * Clock for grants, in milliseconds, that is not affected by changes of the wall clock: setting a clock forward
   * must not shorten grants. Absent if the time of events comes from such a clock.
   */
  readonly steadyNow?: (() => number) | undefined;
}
