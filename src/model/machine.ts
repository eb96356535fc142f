/** Machines of the fleet, from the platform's list, which may be out of date. */
import { z } from 'zod';
import { nameSchema } from './resource.js';

const portSchema = z.number().int().min(1).max(65_535);

/** An entry of the platform's list. Each machine runs one node. */
export const machineSchema = z.strictObject({
  /** Identity of the machine; a replacement has a different one. */
  id: nameSchema,
  address: z.union([z.ipv4(), z.ipv6()], { error: 'expected an IP number' }),
  /** Port of the node's peer protocol. */
  controlPort: portSchema,
  /** Port on which the node accepts relayed requests from other nodes. */
  relayPort: portSchema,
  zone: nameSchema,
  region: nameSchema,
  /** Increases with each machine that joins: a lower number means an older machine. */
  seniority: z.number().int().min(0),
  state: z.enum(['live', 'leaving']),
});

export type Machine = z.infer<typeof machineSchema>;

/** The platform's list of machines. */
export const machineListSchema = z.strictObject({
  version: z.number().int().min(0),
  machines: z.array(machineSchema).max(100_000),
});

export type MachineList = z.infer<typeof machineListSchema>;
