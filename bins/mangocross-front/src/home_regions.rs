//! Keeps requests in the regions that their route and customer allow.

use mangocross_serving::BackendServer;
use mangocross_serving::HeadLoad;
use mangocross_serving::HomeRegions;
use mangocross_serving::ListedEntryVm;

use crate::dispatch::Call;

impl Call {
    /// Returns the regions in which the request may be served.
    fn homes(&self) -> HomeRegions {
        match &self.holder {
            Some(it) => self.route.homes.and(&it.homes),
            None => self.route.homes.clone(),
        }
    }

    /// Returns whether a server is in a region in which the request may be served.
    pub(crate) fn allows_server(&self, server: &BackendServer) -> bool {
        self.homes().allows_server(self.state.vm.regions.get(&server.zone))
    }

    /// Returns whether the request may be passed on to an entry VM.
    pub(crate) fn allows_entry_vm(&self, vm: &ListedEntryVm) -> bool {
        let settings = &self.state.vm;
        let region = vm.zone.as_ref().and_then(|it| settings.regions.get(it));
        self.homes().allows_entry_vm(region, settings.region.as_ref())
    }

    /// Removes heads in regions in which the request may not be served.
    pub(crate) fn retain_allowed(&self, heads: &mut Vec<HeadLoad>) {
        let homes = self.homes();
        if homes == HomeRegions::default() {
            return;
        }
        let view = self.state.view.borrow();
        let regions = &self.state.vm.regions;
        heads.retain(|it| {
            let server = view.servers.get(&it.vm);
            homes.allows_server(server.and_then(|it| regions.get(&it.zone)))
        });
    }
}
