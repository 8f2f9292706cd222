//! Parses calls of the `chervilwharf_…` SQL functions, the contract that every database
//! server of a group fulfils. See docs/TARGETS.md.

/// A call of one of these functions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContractCall {
    /// Returns the state of the server.
    State,
    /// Takes a term for its owner, so that the server refuses all lower terms.
    Fence { term: u64, owner: String },
    /// Makes the server the primary of its current term.
    Promote { term: u64, owner: String },
    /// Makes the server a replica of a primary.
    Follow { term: u64, owner: String, primary: String, address: String },
    /// Binds the session to a term: its statements fail in any other term.
    UseTerm { term: u64 },
    /// Fails unless the server has applied this position.
    RequirePosition { term: u64, index: u64 },
    /// Returns the last position that the server has applied.
    Position,
    /// Returns the number, so that the caller recognises the reply.
    Mark { number: u64 },
}

/// Parses `SELECT [* FROM] chervilwharf_name(arguments)`. Returns `None` for any other
/// statement.
pub fn parse(sql: &str) -> Option<ContractCall> {
    let rest = sql.trim().trim_end_matches(';').trim();
    let rest = rest.strip_prefix("SELECT ")?;
    let rest = rest.strip_prefix("* FROM ").unwrap_or(rest);
    let rest = rest.strip_prefix("chervilwharf_")?;
    let (name, arguments) = rest.strip_suffix(')')?.split_once('(')?;
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
        "mark" => ContractCall::Mark { number: number(0)? },
        _ => return None,
    })
}
