/**
 * Merges the allowed regions of a route and of a workspace, which both bind. Empty and absent lists allow all regions.
 *
 * @returns the regions that both allow, possibly none; `undefined` if all are allowed
 * @example mergeAllowedRegions(['north', 'south'], ['south', 'west']) // ['south']
 */
export function mergeAllowedRegions (routeRegions: readonly string[] | undefined, workspaceRegions: readonly string[] | undefined): readonly string[] | undefined {
  const lists = [routeRegions, workspaceRegions].filter(l => l !== undefined).filter(l => l.length > 0)
  const [first, second] = lists
  return second === undefined ? first : first!.filter(r => second.includes(r))
}

/**
 * Lists the regions whose VMs may be handed the text of an operation: the allowed ones, and that of the VM to which its client is connected.
 *
 * @param allowedRegions `Operation.allowedRegions`
 * @returns `undefined` if VMs of all regions may
 * @example listTextRegions(['north'], 'south') // ['north', 'south']
 */
export function listTextRegions (allowedRegions: readonly string[] | undefined, clientVmRegion: string): readonly string[] | undefined {
  return allowedRegions === undefined ? undefined : [...new Set([...allowedRegions, clientVmRegion])]
}
