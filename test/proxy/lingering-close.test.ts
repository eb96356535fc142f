/** Guards against answers that are reset since what their caller sent was unread as its connection was destroyed. */
import { PassThrough } from 'node:stream';
import { expect } from 'chai';
import { LingeringCloses } from '../../src/proxy/lingering-close.js';

describe('the end of a connection that its caller has not closed', () => {
  it('comes after what has arrived is read', async () => {
    let read: () => void = () => undefined;
    const renewed = new Promise<void>((resolve) => (read = resolve));
    let hasAsked: () => void = () => undefined;
    const asked = new Promise<void>((resolve) => (hasAsked = resolve));
    const closes = new LingeringCloses({
      renew: () => {
        hasAsked();
        return renewed;
      },
    });
    const socket = new PassThrough();
    closes.begin(socket, 1);
    await asked;
    expect(socket.destroyed).to.equal(false);
    read();
    await new Promise(setImmediate);
    expect(socket.destroyed).to.equal(true);
  });
});
