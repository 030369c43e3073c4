import type { LinkTraffic, MarkerSighting, RelayRule } from '@camphorbarrow/standins';
import { requestJson } from './requestJson.js';

/** Client of the relay's control interface. `from` and `to` are a process, a region or `*`. */
export interface NetworkControl {
  setRule(id: string, rule: RelayRule): Promise<void>;
  removeRule(id: string): Promise<void>;
  /** Silences the open connections; resolves to their number. */
  silence(from: string, to: string): Promise<number>;
  links(): Promise<readonly LinkTraffic[]>;
  search(marker: string): Promise<{
    readonly sightings: readonly MarkerSighting[];
    readonly truncated: boolean;
  }>;
}

export function createNetworkControl(url: string): NetworkControl {
  return {
    async setRule(id, rule) {
      await requestJson('PUT', `${url}/rules/${id}`, rule);
    },
    async removeRule(id) {
      await requestJson('DELETE', `${url}/rules/${id}`);
    },
    async silence(from, to) {
      const response = await requestJson('POST', `${url}/silence`, { from, to });
      return (response as { silenced: number }).silenced;
    },
    async links() {
      return ((await requestJson('GET', `${url}/links`)) as { links: LinkTraffic[] }).links;
    },
    async search(marker) {
      return (await requestJson('POST', `${url}/search`, { marker })) as {
        sightings: MarkerSighting[];
        truncated: boolean;
      };
    },
  };
}
