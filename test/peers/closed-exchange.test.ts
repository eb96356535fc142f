/**
 * Guards against a crash with ERR_SOCKET_DGRAM_NOT_RUNNING: if a stopping node evaluates an endpoint's end
 * late, after its datagram socket was closed, it must not send the resulting suspicions on that socket.
 */
import { expect } from 'chai';
import { Containment } from '../../src/containment/containment.js';
import { PeerExchange } from '../../src/peers/peer-exchange.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import { StoreReplica } from '../../src/store/store-replica.js';

describe('PeerExchange', () => {
  it('sends nothing after it was closed', async () => {
    const containment = new Containment({
      nodeName: 'n',
      callerHeader: undefined,
      nowMs: () => 0,
      counters: { add: () => undefined },
      logStateChange: () => undefined,
    });
    const exchange = new PeerExchange({
      address: '127.0.0.1',
      datagramPort: 24_871,
      changesPort: 0,
      replica: new StoreReplica(),
      containment,
      random: () => 0,
      ageMs: () => 0,
      awaited: () => [],
      onAge: () => undefined,
      onDeltaApplied: () => undefined,
      onUnresponsive: () => undefined,
    });
    await exchange.open();
    exchange.setMachines(['127.0.0.2']);
    exchange.close();
    const parts = { method: 'GET', target: '/a', headers: ['Host', 'h'], body: EMPTY_BODY };
    expect(() => containment.endpointEnded('e1', [parts])).not.to.throw();
    expect(() => exchange.tick()).not.to.throw();
  });
});
