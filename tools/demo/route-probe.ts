/** Asks nodes for a route of the configuration, as a caller. */
import { CallClient } from '../shared/call-client.js';
import type { NodeProcess } from './fleet.js';

/** Ids of the nodes that do not serve `path`; call ids begin with `name`. */
export async function findNodesWithoutRoute(
  name: string,
  nodes: readonly NodeProcess[],
  path: string,
): Promise<string[]> {
  const client = new CallClient(1);
  const missing: string[] = [];
  for (const node of nodes) {
    const { end } = await client.send(node.caller, {
      callId: `${name}-route-${node.id}`,
      method: 'GET',
      path,
      bodyBytes: 0,
      workMs: 1,
      answerBytes: 200,
      deadlineMs: 2_000,
      giveUpMs: 4_000,
    });
    if (end.type !== 'answered' || end.status !== 200) {
      missing.push(node.id);
    }
  }
  client.close();
  return missing;
}
