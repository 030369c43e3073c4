import { request } from 'undici';
import { ScenarioError } from '../errors/ScenarioError.js';

/**
 * Sends a JSON request to a stand-in; resolves to the JSON body of the response.
 *
 * @throws ScenarioError for a status other than 2xx
 */
export async function requestJson(
  method: 'GET' | 'POST' | 'PUT' | 'DELETE',
  url: string,
  body?: object,
): Promise<unknown> {
  const response = await request(url, {
    method,
    ...(body === undefined
      ? {}
      : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
  });
  const text = await response.body.text();
  if (response.statusCode > 299) {
    throw new ScenarioError(`${method} ${url} failed with status ${response.statusCode}: ${text}`);
  }
  return text === '' ? undefined : JSON.parse(text);
}
