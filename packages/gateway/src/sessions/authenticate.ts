import type { ResponseError } from '../backend/statement.ts'
import type { Configuration, Route } from '../configuration/configuration.ts'
import { mergeAllowedRegions } from '../routing/allowed-regions.ts'

/** Workspace name for clients without a known key, whose statements run on public routes only. */
export const ANONYMOUS_WORKSPACE = '-'

/** The route and workspace of a client with the regions that both allow (absent for all), or the error that refuses it. */
export type Admission = { route: Route, workspace: string, allowedRegions?: readonly string[] } | { error: ResponseError }

/**
 * Finds the route of a database and the workspace of a key in one version of the configuration.
 *
 * @example authenticate(configuration, 'orders', 'u3f1') // { route, workspace: 'lab' }
 */
export function authenticate (configuration: Configuration, database: string, key: string): Admission {
  const route = configuration.routes.find(r => r.database === database)
  if (route === undefined) return { error: { code: 'noDatabase', text: `no database ${database}` } }
  const workspace = configuration.workspaces.find(w => w.keys.includes(key))
  const allowedRegions = mergeAllowedRegions(route.allowedRegions, workspace?.allowedRegions)
  if (workspace !== undefined) return { route, workspace: workspace.name, allowedRegions }
  if (route.isPublic) return { route, workspace: ANONYMOUS_WORKSPACE, allowedRegions }
  return { error: { code: 'noAuth', text: 'unknown key' } }
}

/** Authenticates a session that has been accepted. Its key must still belong to the workspace that it was accepted for. */
export function authenticateAgain (configuration: Configuration, database: string, key: string, workspace: string | null): Admission {
  const admission = authenticate(configuration, database, key)
  if ('error' in admission || admission.workspace === workspace) return admission
  return { error: { code: 'noAuth', text: 'the key belongs to another workspace now' } }
}
