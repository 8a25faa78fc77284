//! Objects that operators declare.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::endpoint;
use crate::config::group;
use crate::config::organisation;
use crate::config::service;
use crate::name;

/// Kind of a declared object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A service.
    Service,
    /// A group of ranks.
    Group,
    /// An organisation.
    Organisation,
    /// An endpoint.
    Endpoint,
}

impl Kind {
    /// All kinds, ordered so that objects follow those that they depend on.
    pub const ALL: [Self; 4] = [Self::Service, Self::Group, Self::Organisation, Self::Endpoint];

    /// Returns the name of the kind.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Group => "group",
            Self::Organisation => "organisation",
            Self::Endpoint => "endpoint",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Key of a declared object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object, unique within its kind.
    pub name: name::Name,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A declared object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Declaration {
    /// A service.
    Service(service::Service),
    /// A group of ranks.
    Group(group::Group),
    /// An organisation.
    Organisation(organisation::Organisation),
    /// An endpoint.
    Endpoint(endpoint::Endpoint),
}

impl Declaration {
    /// Returns the key of the object.
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Self::Service(service) => (Kind::Service, &service.name),
            Self::Group(group) => (Kind::Group, &group.name),
            Self::Organisation(organisation) => (Kind::Organisation, &organisation.name),
            Self::Endpoint(endpoint) => (Kind::Endpoint, &endpoint.name),
        };
        ObjectKey {
            kind,
            name: name.clone(),
        }
    }
}

/// Contents of a declarations file.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Declarations {
    /// Services.
    #[serde(default)]
    pub services: Vec<service::Service>,
    /// Groups.
    #[serde(default)]
    pub groups: Vec<group::Group>,
    /// Organisations.
    #[serde(default)]
    pub organisations: Vec<organisation::Organisation>,
    /// Endpoints.
    #[serde(default)]
    pub endpoints: Vec<endpoint::Endpoint>,
}

impl Declarations {
    /// Returns all objects in the order of [`Kind::ALL`].
    pub fn into_objects(self) -> Vec<Declaration> {
        let services = self.services.into_iter().map(Declaration::Service);
        let groups = self.groups.into_iter().map(Declaration::Group);
        let organisations = self.organisations.into_iter().map(Declaration::Organisation);
        let endpoints = self.endpoints.into_iter().map(Declaration::Endpoint);
        services.chain(groups).chain(organisations).chain(endpoints).collect()
    }

    /// Groups the given objects by kind.
    pub fn from_objects<I>(objects: I) -> Self
    where
        I: IntoIterator<Item = Declaration>,
    {
        let mut file = Self::default();
        for object in objects {
            match object {
                Declaration::Service(service) => file.services.push(service),
                Declaration::Group(group) => file.groups.push(group),
                Declaration::Organisation(organisation) => file.organisations.push(organisation),
                Declaration::Endpoint(endpoint) => file.endpoints.push(endpoint),
            }
        }
        file
    }
}
