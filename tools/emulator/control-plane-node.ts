/** The product's control plane as a component of the emulator. */
import { ControlPlane } from '../../src/control/control-plane.js';
import type {
  ComponentFactory as PartFactory,
  ControlPlaneOptions,
} from '../../src/control/control-options.js';
import type { ControlEffect, ControlEvent } from '../../src/control/control-event.js';
import type { PeerAddress } from '../../src/membership/peer-identity.js';
import type { ComponentContext, EmulatedComponent, HeldDocuments } from './emulated-process.js';

/** What the settings file of every node names. */
export interface NodeSettings {
  readonly seeds: readonly PeerAddress[];
  /** Parts beside dissemination and membership, made anew for each process. */
  readonly parts: (context: ComponentContext) => readonly PartFactory[];
  /** Numbers other than the defaults, and a memo that nodes share. */
  readonly options?: Partial<ControlPlaneOptions>;
}

/** One node of the emulated fleet. */
export class ControlPlaneNode implements EmulatedComponent {
  readonly plane: ControlPlane;

  constructor(context: ComponentContext, settings: NodeSettings) {
    const { identity, random, counters } = context;
    this.plane = new ControlPlane({
      identity,
      random,
      counters,
      seeds: settings.seeds.filter((seed) => seed.address !== identity.address),
      components: settings.parts(context),
      ...settings.options,
    });
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    return this.plane.handle(event, nowMs);
  }

  nextWakeAt(): number {
    return this.plane.nextWakeAt();
  }

  heldDocuments(): HeldDocuments {
    return this.plane.heldDocuments();
  }
}
