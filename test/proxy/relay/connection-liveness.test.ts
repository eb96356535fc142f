/** When a connection that owes something is taken for silent. */
import { expect } from 'chai';
import {
  ConnectionLiveness,
  LOSS_TIMEOUT_MS,
  MAX_PING_TIMEOUT_MS,
  MIN_PING_TIMEOUT_MS,
  ONE_WAY_PING_TIMEOUT_MS,
  CONFIRMATION_GRACE_MS,
  type LivenessStep,
} from '../../../src/proxy/relay/connection-liveness.js';

const QUIET_MS = 100;
const STEP_MS = 10;

/** A connection that was opened at 0, in 4 ms. */
function livenessOf(unconfirmedLossTimeoutMs = Infinity, connectMs = 4): ConnectionLiveness {
  return new ConnectionLiveness({ quietMs: QUIET_MS, unconfirmedLossTimeoutMs }, connectMs, 0);
}

/** Looks until `untilMs`; gives the steps other than `none`, with their times. */
function stepsOf(
  liveness: ConnectionLiveness,
  fromMs: number,
  untilMs: number,
  afterCheck: (nowMs: number, step: LivenessStep) => void = () => undefined,
): [LivenessStep, number][] {
  const steps: [LivenessStep, number][] = [];
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += STEP_MS) {
    const step = liveness.check(true, nowMs);
    if (step !== 'none') {
      steps.push([step, nowMs]);
    }
    afterCheck(nowMs, step);
  }
  return steps;
}

describe('the pulse of a connection', () => {
  it('is not asked for while nothing is owed, nor right after bytes arrived', () => {
    const liveness = livenessOf();
    expect(liveness.check(false, 5_000)).to.equal('none');
    liveness.recordReceived(5_000);
    expect(liveness.check(true, 5_000)).to.equal('ping');
    liveness.recordAcknowledgement(5_000, 5_004);
    expect(liveness.check(true, 5_000 + QUIET_MS)).to.equal('none');
    expect(liveness.check(true, 5_004 + QUIET_MS)).to.equal('ping');
  });

  it('is silent once a new connection works and it still says nothing, and lost later', () => {
    const liveness = livenessOf();
    const steps = stepsOf(liveness, 0, 5_000, (nowMs, step) => {
      if (step === 'suspect') {
        liveness.confirmPeerAlive(nowMs + 5);
      }
    });
    const suspectAtMs = QUIET_MS + MIN_PING_TIMEOUT_MS;
    expect(steps).to.deep.equal([
      ['ping', QUIET_MS],
      ['suspect', suspectAtMs],
      ['silent', suspectAtMs + CONFIRMATION_GRACE_MS + STEP_MS],
      ['lost', QUIET_MS + LOSS_TIMEOUT_MS],
    ]);
  });

  it('is only suspect while no new connection can be opened', () => {
    const kinds = stepsOf(livenessOf(), 0, 60_000).map(([step]) => step);
    expect(kinds).to.deep.equal(['ping', 'suspect']);
  });

  it('is lost without a proof where slots may not be kept for long', () => {
    const steps = stepsOf(livenessOf(5_000), 0, 60_000);
    expect(steps.at(-1)).to.deep.equal(['lost', QUIET_MS + 5_000]);
    expect(steps).to.have.length(3);
  });

  it('is well when the answer comes with the proof, as from a peer that was held up', () => {
    const liveness = livenessOf();
    const steps = stepsOf(liveness, 0, 1_000, (nowMs) => {
      if (nowMs === 400) {
        liveness.confirmPeerAlive(nowMs);
      }
      if (nowMs === 440) {
        liveness.recordAcknowledgement(QUIET_MS, nowMs);
      }
    });
    expect(steps.map(([step]) => step).filter((step) => step === 'silent')).to.deep.equal([]);
  });

  it('is waited for as long as measured round trips let one expect, within bounds', () => {
    const liveness = livenessOf();
    expect(liveness.pingTimeoutMs).to.equal(MIN_PING_TIMEOUT_MS);
    for (let nowMs = 1_000; nowMs < 20_000; nowMs += 1_000) {
      expect(liveness.check(true, nowMs)).to.equal('ping');
      liveness.recordAcknowledgement(nowMs, nowMs + (nowMs % 2_000 === 0 ? 90 : 150));
    }
    expect(liveness.pingTimeoutMs).to.be.within(200, 350);
    expect(livenessOf(Infinity, 2_000).pingTimeoutMs).to.equal(MAX_PING_TIMEOUT_MS);
  });

  it('is asked for also while bytes arrive, and is silent when only the way there is', () => {
    const liveness = livenessOf();
    const steps = stepsOf(liveness, 0, 6_000, (nowMs, step) => {
      liveness.recordReceived(nowMs);
      if (step === 'suspect') {
        liveness.confirmPeerAlive(nowMs + 5);
      }
    });
    const [ping, suspect, silent] = steps;
    expect(ping).to.deep.equal(['ping', 1_000]);
    expect(suspect).to.deep.equal(['suspect', 1_000 + ONE_WAY_PING_TIMEOUT_MS]);
    expect(silent?.[0]).to.equal('silent');
    expect(steps).to.have.length(3);
  });

  it('is given more time when this process stood still, but not for ever', () => {
    const liveness = livenessOf();
    expect(liveness.check(true, 200)).to.equal('ping');
    expect(liveness.check(true, 700)).to.equal('none');
    expect(liveness.check(true, 701 + MIN_PING_TIMEOUT_MS + 200)).to.equal('none');
    expect(liveness.check(true, 2_000)).to.equal('suspect');
  });
});
