/** When a connection that owes something is taken for silent. */
import { expect } from 'chai';
import {
  LinkPulse,
  LOSS_MS,
  MAX_WAIT_MS,
  MIN_WAIT_MS,
  ONE_WAY_WAIT_MS,
  PROOF_GRACE_MS,
  type PulseStep,
} from '../../../src/proxy/relay/link-pulse.js';

const QUIET_MS = 100;
const STEP_MS = 10;

/** A connection that was opened at 0, in 4 ms. */
function pulseOf(unprovenLossMs = Infinity, openingMs = 4): LinkPulse {
  return new LinkPulse({ quietMs: QUIET_MS, unprovenLossMs }, openingMs, 0);
}

/** Looks until `untilMs`; gives the steps other than `none`, with their times. */
function stepsOf(
  pulse: LinkPulse,
  fromMs: number,
  untilMs: number,
  act: (nowMs: number, step: PulseStep) => void = () => undefined,
): [PulseStep, number][] {
  const steps: [PulseStep, number][] = [];
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += STEP_MS) {
    const step = pulse.look(true, nowMs);
    if (step !== 'none') {
      steps.push([step, nowMs]);
    }
    act(nowMs, step);
  }
  return steps;
}

describe('the pulse of a connection', () => {
  it('is not asked for while nothing is owed, nor right after bytes arrived', () => {
    const pulse = pulseOf();
    expect(pulse.look(false, 5_000)).to.equal('none');
    pulse.heard(5_000);
    expect(pulse.look(true, 5_000)).to.equal('ask');
    pulse.answered(5_000, 5_004);
    expect(pulse.look(true, 5_000 + QUIET_MS)).to.equal('none');
    expect(pulse.look(true, 5_004 + QUIET_MS)).to.equal('ask');
  });

  it('is silent once a new connection works and it still says nothing, and lost later', () => {
    const pulse = pulseOf();
    const steps = stepsOf(pulse, 0, 5_000, (nowMs, step) => {
      if (step === 'suspect') {
        pulse.proven(nowMs + 5);
      }
    });
    const suspectAtMs = QUIET_MS + MIN_WAIT_MS;
    expect(steps).to.deep.equal([
      ['ask', QUIET_MS],
      ['suspect', suspectAtMs],
      ['silent', suspectAtMs + PROOF_GRACE_MS + STEP_MS],
      ['lost', QUIET_MS + LOSS_MS],
    ]);
  });

  it('is only suspect while no new connection can be opened', () => {
    const kinds = stepsOf(pulseOf(), 0, 60_000).map(([step]) => step);
    expect(kinds).to.deep.equal(['ask', 'suspect']);
  });

  it('is lost without a proof where slots may not be kept for long', () => {
    const steps = stepsOf(pulseOf(5_000), 0, 60_000);
    expect(steps.at(-1)).to.deep.equal(['lost', QUIET_MS + 5_000]);
    expect(steps).to.have.length(3);
  });

  it('is well when the answer comes with the proof, as from a peer that was held up', () => {
    const pulse = pulseOf();
    const steps = stepsOf(pulse, 0, 1_000, (nowMs) => {
      if (nowMs === 400) {
        pulse.proven(nowMs);
      }
      if (nowMs === 440) {
        pulse.answered(QUIET_MS, nowMs);
      }
    });
    expect(steps.map(([step]) => step).filter((step) => step === 'silent')).to.deep.equal([]);
  });

  it('is waited for as long as measured round trips let one expect, within bounds', () => {
    const pulse = pulseOf();
    expect(pulse.waitMs).to.equal(MIN_WAIT_MS);
    for (let nowMs = 1_000; nowMs < 20_000; nowMs += 1_000) {
      expect(pulse.look(true, nowMs)).to.equal('ask');
      pulse.answered(nowMs, nowMs + (nowMs % 2_000 === 0 ? 90 : 150));
    }
    expect(pulse.waitMs).to.be.within(200, 350);
    expect(pulseOf(Infinity, 2_000).waitMs).to.equal(MAX_WAIT_MS);
  });

  it('is asked for also while bytes arrive, and is silent when only the way there is', () => {
    const pulse = pulseOf();
    const steps = stepsOf(pulse, 0, 6_000, (nowMs, step) => {
      pulse.heard(nowMs);
      if (step === 'suspect') {
        pulse.proven(nowMs + 5);
      }
    });
    const [ask, suspect, silent] = steps;
    expect(ask).to.deep.equal(['ask', 1_000]);
    expect(suspect).to.deep.equal(['suspect', 1_000 + ONE_WAY_WAIT_MS]);
    expect(silent?.[0]).to.equal('silent');
    expect(steps).to.have.length(3);
  });

  it('is given more time when this process stood still, but not for ever', () => {
    const pulse = pulseOf();
    expect(pulse.look(true, 200)).to.equal('ask');
    expect(pulse.look(true, 700)).to.equal('none');
    expect(pulse.look(true, 701 + MIN_WAIT_MS + 200)).to.equal('none');
    expect(pulse.look(true, 2_000)).to.equal('suspect');
  });
});
