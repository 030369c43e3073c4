import type { Customer } from '../model/Customer.js';
import type { Route } from '../model/Route.js';

/**
 * Returns the route with the customer's priority, and with the regions that may process requests of
 * both. Undefined if there is no such region.
 */
export function applyCustomer(route: Route, customer: Customer | undefined): Route | undefined {
  if (customer === undefined) {
    return route;
  }
  const rank = customer.rank ?? route.rank;
  if (customer.homeRegions.length === 0) {
    return rank === route.rank ? route : { ...route, rank };
  }
  const homeRegions =
    route.homeRegions.length === 0
      ? customer.homeRegions
      : customer.homeRegions.filter((region) => route.homeRegions.includes(region));
  return homeRegions.length === 0 ? undefined : { ...route, rank, homeRegions };
}
