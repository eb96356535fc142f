import { expect } from 'chai';
import fc from 'fast-check';
import {
  chooseLink,
  type LinkChoice,
  type LinkAttributes,
} from '../../src/transport/link-preference.js';

type Choose = typeof chooseLink;

/** Returns the dialer of the link that a node keeps after both links opened in the given order. */
function kept(choose: Choose, own: string, peer: string, dialers: readonly string[]): string {
  let held: string | undefined;
  for (const dialer of dialers) {
    const facts = (id: string): LinkAttributes => ({
      peerIncarnation: 1,
      role: id === own ? 'dialer' : 'acceptor',
    });
    if (held === undefined || choose(facts(held), facts(dialer), own, peer) === 'replace') {
      held = dialer;
    }
  }
  return held ?? '';
}

function bothEndsAgree(choose: Choose): boolean {
  const order = fc.constantFrom<readonly string[]>(['a', 'b'], ['b', 'a']);
  const check = fc.check(
    fc.property(
      order,
      order,
      (atA, atB) => kept(choose, 'a', 'b', atA) === kept(choose, 'b', 'a', atB),
    ),
    { seed: 4_711 },
  );
  return !check.failed;
}

describe('link preference', () => {
  it('makes both ends keep the same link in every order', () => {
    expect(bothEndsAgree(chooseLink)).to.equal(true);
  });

  const mutants: readonly [string, Choose][] = [
    ['the newest', () => 'replace'],
    ['the oldest', () => 'duplicate'],
    ['the own', (_held, candidate) => (candidate.role === 'dialer' ? 'replace' : 'duplicate')],
  ];
  for (const [name, mutant] of mutants) {
    it(`would differ between the ends if each kept ${name} link`, () => {
      expect(bothEndsAgree(mutant)).to.equal(false);
    });
  }

  const cases: readonly [
    LinkAttributes['role'],
    number,
    LinkAttributes['role'],
    number,
    LinkChoice,
  ][] = [
    ['dialer', 1, 'dialer', 1, 'replace'],
    ['acceptor', 1, 'acceptor', 1, 'replace'],
    ['dialer', 1, 'acceptor', 1, 'duplicate'],
    ['acceptor', 1, 'dialer', 1, 'replace'],
    ['dialer', 1, 'acceptor', 2, 'replace'],
    ['dialer', 2, 'dialer', 1, 'stale-incarnation'],
    ['acceptor', 2, 'dialer', 1, 'stale-incarnation'],
  ];
  for (const [heldRole, held, role, incarnation, choice] of cases) {
    it(`${heldRole} of incarnation ${held} against ${role} of ${incarnation}: ${choice}`, () => {
      const heldFacts = { role: heldRole, peerIncarnation: held };
      const candidate = { role, peerIncarnation: incarnation };
      expect(chooseLink(heldFacts, candidate, 'a', 'b')).to.equal(choice);
    });
  }
});
