//! Reads calls of the `chervilwharf_…` functions. See docs/TARGETS.md.

/// A call of one of the functions every server of a group offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContractCall {
    /// State of the server.
    State,
    /// Refuse all lower terms.
    Fence { term: u64, owner: String },
    /// Become the primary.
    Promote { term: u64, owner: String },
    /// Follow a primary.
    Follow { term: u64, owner: String, primary: String, address: String },
    /// Work of this session belongs to a term.
    UseTerm { term: u64 },
    /// Fail unless this position is applied.
    RequirePosition { term: u64, index: u64 },
    /// Last position that is applied.
    Position,
}

/// Reads `SELECT [* FROM] chervilwharf_name(arguments)`, if it is one.
pub fn parse(sql: &str) -> Option<ContractCall> {
    let idle = sql.trim().trim_end_matches(';').trim();
    let idle = idle.strip_prefix("SELECT ")?;
    let idle = idle.strip_prefix("* FROM ").unwrap_or(idle);
    let idle = idle.strip_prefix("chervilwharf_")?;
    let (name, arguments) = idle.strip_suffix(')')?.split_once('(')?;
    let arguments: Vec<&str> = arguments.split(',').map(|a| a.trim().trim_matches('\'')).collect();
    let number = |at: usize| arguments.get(at)?.parse::<u64>().ok();
    let text = |at: usize| arguments.get(at).map(|text| (*text).to_owned());
    Some(match name {
        "state" => ContractCall::State,
        "fence" => ContractCall::Fence { term: number(0)?, owner: text(1)? },
        "promote" => ContractCall::Promote { term: number(0)?, owner: text(1)? },
        "follow" => ContractCall::Follow {
            term: number(0)?,
            owner: text(1)?,
            primary: text(2)?,
            address: text(3)?,
        },
        "use_term" => ContractCall::UseTerm { term: number(0)? },
        "require_position" => ContractCall::RequirePosition { term: number(0)?, index: number(1)? },
        "position" => ContractCall::Position,
        _ => return None,
    })
}
