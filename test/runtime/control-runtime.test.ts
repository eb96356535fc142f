import { expect } from 'chai';
import type {
  ControlComponent,
  ControlEffect,
  ControlEvent,
} from '../../src/control/control-event.js';
import { ControlRuntime, MAX_PENDING_EVENTS } from '../../src/runtime/control-runtime.js';

/** Records event types; requests `wakes` wake events, one after the other. */
class RecordingComponent implements ControlComponent {
  readonly receivedTypes: string[] = [];
  private remainingWakes: number;

  constructor(wakes: number) {
    this.remainingWakes = wakes;
  }

  handle(event: ControlEvent): ControlEffect[] {
    this.receivedTypes.push(event.type);
    if (event.type === 'dial-failed') {
      throw new Error('poison');
    }
    if (event.type === 'wake') {
      this.remainingWakes -= 1;
    }
    return [{ type: 'state-change', what: event.type, detail: '' }];
  }

  nextWakeAt(): number {
    return this.remainingWakes > 0 ? 0 : Infinity;
  }
}

function runtimeOf(component: ControlComponent, onEffect: (effect: ControlEffect) => void) {
  const counted = new Map<string, number>();
  const counters = {
    add: (name: string) => void counted.set(name, (counted.get(name) ?? 0) + 1),
  };
  const failed: string[] = [];
  const runtime = new ControlRuntime({
    component,
    execute: onEffect,
    now: () => 0,
    counters,
    onFailure: (event) => void failed.push(event.type),
  });
  return { runtime, counted, failed };
}

describe('runtime/control-runtime', () => {
  it('delivers events in order, executes effects, and wakes the component when requested', async () => {
    const component = new RecordingComponent(2);
    const effects: string[] = [];
    await new Promise<void>((resolve) => {
      const { runtime } = runtimeOf(component, (effect) => {
        effects.push(effect.type === 'state-change' ? effect.what : effect.type);
        if (effects.filter((event) => event === 'wake').length === 2) {
          runtime.close();
          resolve();
        }
      });
      runtime.start();
      runtime.offer({ type: 'stop' });
    });
    expect(component.receivedTypes).to.deep.equal(['start', 'stop', 'wake', 'wake']);
    expect(effects).to.deep.equal(component.receivedTypes);
  });

  it('delivers the stop event before stop resolves', async () => {
    const component = new RecordingComponent(0);
    const { runtime } = runtimeOf(component, () => undefined);
    runtime.start();
    await runtime.stop();
    expect(component.receivedTypes).to.deep.equal(['start', 'stop']);
    runtime.close();
    await runtime.stop();
  });

  it('drops an event on which the component throws and processes the next', async () => {
    const component = new RecordingComponent(0);
    const outcome = await new Promise<string[]>((resolve) => {
      const { runtime, failed } = runtimeOf(component, (effect) => {
        if (effect.type === 'state-change' && effect.what === 'stop') {
          runtime.close();
          resolve(failed);
        }
      });
      runtime.start();
      runtime.offer({ type: 'dial-failed', target: { address: '127.0.0.1', controlPort: 1 } });
      runtime.offer({ type: 'stop' });
    });
    expect(outcome).to.deep.equal(['dial-failed']);
  });

  it('bounds the event queue and counts rejected events', () => {
    const { runtime, counted } = runtimeOf(new RecordingComponent(0), () => undefined);
    let accepted = 0;
    while (accepted <= MAX_PENDING_EVENTS && runtime.offer({ type: 'wake' })) {
      accepted += 1;
    }
    expect(accepted).to.equal(MAX_PENDING_EVENTS);
    expect(counted.get('ferryspool_control_events_dropped_total')).to.equal(1);
    runtime.close();
    expect(runtime.offer({ type: 'wake' })).to.equal(false);
  });
});
