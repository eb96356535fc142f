/** What the fuzzer runs: the product's control plane as the product puts it together. */
import { maxReaders } from '../../src/source/lease-terms.js';
import { encodedSize } from '../../src/wire/codec.js';
import { evenShares, productFactory, type ReaderKind } from '../emulator/product-nodes.js';
import { FUZZ_ZONES } from './fuzz-command.js';
import type { FuzzTarget } from './script-runner.js';

/** The product's control plane, with readers of the kind. */
export function controlPlaneTarget(readers: ReaderKind = 'leased', withWrites = false): FuzzTarget {
  return {
    factory: productFactory(FUZZ_ZONES, undefined, readers, withWrites),
    withWrites,
    sizer: encodedSize,
    readerBound: readers === 'leased' ? maxReaders(evenShares(FUZZ_ZONES)) : FUZZ_ZONES,
  };
}
