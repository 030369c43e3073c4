import type { Incarnation } from '../../src/ids/Incarnation.js';
import type { ServerId } from '../../src/ids/ServerId.js';
import { asId } from '../../src/ids/asId.js';
import type { ServerView } from '../../src/routing/ServerView.js';
import { createFakeServer } from './createFakeServer.js';

/** A live engine with the given id and an incarnation derived from it. */
export function createNamedServer(name: string): ServerView {
  const { entry, ...server } = createFakeServer(
    {},
    { incarnation: asId<Incarnation>(`${name}-1`) },
  );
  return { ...server, entry: { ...entry, serverId: asId<ServerId>(name) } };
}
