/** What the fuzzer runs: the product's control plane as the product puts it together. */
import { encodedSize } from '../../src/wire/codec.js';
import { productFactory } from '../emulator/product-nodes.js';
import { FUZZ_ZONES } from './fuzz-command.js';
import type { FuzzTarget } from './script-runner.js';

/** Readers that the source bears at once. */
const READER_BOUND = 4;

/** The product's control plane. */
export function controlPlaneTarget(): FuzzTarget {
  return {
    factory: productFactory(FUZZ_ZONES),
    sizer: encodedSize,
    readerBound: READER_BOUND,
  };
}
